package protocol

import (
	"encoding/json"
	"fmt"
)

// Paths of the cloud API.
const (
	PathMachineTypes = "/flavors"
	PathMachines     = "/hosts"
	PathTerminate    = "/hosts/release"
)

// Limits that the cloud sets on one call.
const (
	MaxMachinesPerProvision   = 50
	MaxMachinesPerTermination = 100
	MachinesPageSize          = 500
)

// wireMachineType and wireMachine are entries of the cloud's lists. The cloud API fixes the names of
// their fields and the state names.
type wireMachineType struct {
	Name             string   `json:"label"`
	CPUs             float64  `json:"cpus"`
	GPUs             float64  `json:"gpus"`
	MemoryGB         float64  `json:"memGb"`
	CacheGB          float64  `json:"localGb"`
	FetchGBPerSecond float64  `json:"fetchGbPerS"`
	Price            float64  `json:"rate"`
	SpotPrice        float64  `json:"spotPrice"`
	BootTime         float64  `json:"readyS"`
	Zones            []string `json:"harbours"`
}

type wireMachine struct {
	Name  string  `json:"nameId"`
	Addr  string  `json:"endpoint"`
	Type  string  `json:"hullForm"`
	Zone  string  `json:"harbour"`
	Spot  bool    `json:"driftwood"`
	State string  `json:"bearing"`
	Age   float64 `json:"ageS"`
}

// ParseMachineTypes parses the cloud's list of machine types.
func ParseMachineTypes(body []byte) ([]MachineType, error) {
	var w struct {
		Types []wireMachineType `json:"hullForms"`
	}
	if err := json.Unmarshal(body, &w); err != nil {
		return nil, err
	}
	if len(w.Types) == 0 {
		return nil, responseError("hullForms", reasonMissing)
	}
	types := make([]MachineType, 0, len(w.Types))
	for _, t := range w.Types {
		if err := t.validate(); err != nil {
			return nil, err
		}
		types = append(types, MachineType{Name: t.Name, CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB, CacheGB: t.CacheGB,
			FetchGBPerSecond: t.FetchGBPerSecond, PricePerHour: t.Price, SpotPricePerHour: t.SpotPrice, BootTime: Seconds(t.BootTime), Zones: t.Zones})
	}
	return types, nil
}

// validate rejects types that no task could be placed on, and amounts that would corrupt
// capacity or cost calculations.
func (w *wireMachineType) validate() error {
	switch {
	case w.Name == "":
		return responseError("label", reasonMissing)
	case w.CPUs <= 0 || w.MemoryGB < 0 || w.GPUs < 0 || w.Price < 0:
		return responseError("hullForms", "has cpus of 0 or less, or a negative memGb, gpus or rate")
	case w.BootTime < 0 || w.BootTime > maxSeconds:
		return responseError("readyS", "is not a duration")
	}
	return nil
}

// EncodeProvision encodes the request that provisions machines.
func EncodeProvision(request, typ, zone string, spot bool, count int) []byte {
	return Encode(ProvisionRequest{request, typ, zone, spot, count})
}

// ParseMachineNames parses the response to a request to provision machines: their names.
func ParseMachineNames(body []byte) ([]string, error) {
	var w struct {
		Names []string `json:"decks"`
	}
	if err := json.Unmarshal(body, &w); err != nil {
		return nil, err
	}
	if w.Names == nil {
		return nil, responseError("decks", reasonMissing)
	}
	for _, n := range w.Names {
		if !validName(n) {
			return nil, responseError("decks", "holds something that is not a name")
		}
	}
	return w.Names, nil
}

// EncodeTerminate encodes the request that terminates the named machines.
func EncodeTerminate(names []string) []byte {
	return EncodeMachineNames(names)
}

// MachinesTarget returns the request target of one page of the cloud's machine list: the
// machines after the one named, or the first page if after is empty.
func MachinesTarget(after string) string {
	t := fmt.Sprintf("%s?limit=%d", PathMachines, MachinesPageSize)
	if after != "" {
		t += "&after=" + escapeKey(after)
	}
	return t
}

var machineStateNames = map[string]MachineState{"starting": Booting, "running": Up, "failed": Failed}

// ParseMachines parses one page of the cloud's machine list; more reports whether another
// page follows.
func ParseMachines(body []byte) (list []ListedMachine, more bool, err error) {
	var w struct {
		Machines []wireMachine `json:"decks"`
		More     *bool         `json:"more"`
	}
	if err := json.Unmarshal(body, &w); err != nil {
		return nil, false, err
	}
	if w.Machines == nil || w.More == nil {
		return nil, false, responseError("decks", "or more "+reasonMissing)
	}
	for _, m := range w.Machines {
		state := machineStateNames[m.State]
		switch {
		case !validName(m.Name):
			return nil, false, responseError("nameId", "is missing or not a name")
		case state == 0:
			return nil, false, responseError("bearing", "is missing or unknown")
		case !validAmount(m.Age):
			return nil, false, responseError("ageS", "is not a duration")
		}
		list = append(list, ListedMachine{Name: m.Name, Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
			State: state, Age: Seconds(m.Age)})
	}
	return list, *w.More, nil
}

// IsNoCapacity reports whether the body of an error response says that the cloud has no
// machines left of the requested kind, rather than that the call failed.
func IsNoCapacity(body []byte) bool {
	var w struct {
		Error string `json:"error"`
	}
	return json.Unmarshal(body, &w) == nil && w.Error == "no capacity"
}
