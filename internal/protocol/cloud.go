package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Paths of the cloud's interface.
const (
	PathMachineTypes = "/flavors"
	PathMachines     = "/hosts"
	PathTerminate    = "/hosts/release"
)

// Limits of the cloud's calls.
const (
	MaxProvision = 50
	MaxTerminate = 100
	MaxListed    = 500
)

var errImpossible = errors.New("an answer that makes no sense")

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

// ParseMachineTypes reads the cloud's machine types.
func ParseMachineTypes(body []byte) ([]MachineType, error) {
	var w struct {
		Types []wireMachineType `json:"hullForms"`
	}
	if err := json.Unmarshal(body, &w); err != nil {
		return nil, err
	}
	if len(w.Types) == 0 {
		return nil, errImpossible
	}
	types := make([]MachineType, 0, len(w.Types))
	for _, t := range w.Types {
		if t.Name == "" || t.CPUs <= 0 || t.MemoryGB < 0 || t.GPUs < 0 || t.Price < 0 || t.BootTime < 0 || t.BootTime > maxSeconds {
			return nil, errImpossible
		}
		types = append(types, MachineType{Name: t.Name, CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB, CacheGB: t.CacheGB,
			FetchGBPerSecond: t.FetchGBPerSecond, PricePerHour: t.Price, SpotPricePerHour: t.SpotPrice, BootTime: Seconds(t.BootTime), Zones: t.Zones})
	}
	return types, nil
}

// EncodeProvision asks for machines.
func EncodeProvision(request, typ, zone string, spot bool, count int) []byte {
	return Encode(ProvisionRequest{request, typ, zone, spot, count})
}

// ParseMachineNames reads the names of the machines that were rented.
func ParseMachineNames(body []byte) ([]string, error) {
	var w struct {
		Names []string `json:"decks"`
	}
	if err := json.Unmarshal(body, &w); err != nil {
		return nil, err
	}
	if w.Names == nil {
		return nil, errImpossible
	}
	for _, n := range w.Names {
		if n == "" || len(n) > maxNameBytes {
			return nil, errImpossible
		}
	}
	return w.Names, nil
}

// EncodeTerminate names machines to return.
func EncodeTerminate(names []string) []byte {
	return EncodeMachineNames(names)
}

// MachinesTarget is the target of one page of the cloud's list.
func MachinesTarget(after string) string {
	t := fmt.Sprintf("%s?limit=%d", PathMachines, MaxListed)
	if after != "" {
		t += "&after=" + escapeKey(after)
	}
	return t
}

// ParseMachines reads one page of the cloud's list.
func ParseMachines(body []byte) (list []ListedMachine, more bool, err error) {
	var w struct {
		Machines []wireMachine `json:"decks"`
		More     *bool         `json:"more"`
	}
	if err := json.Unmarshal(body, &w); err != nil {
		return nil, false, err
	}
	if w.Machines == nil || w.More == nil {
		return nil, false, errImpossible
	}
	for _, m := range w.Machines {
		state := map[string]MachineState{"starting": Booting, "running": Up, "failed": Failed}[m.State]
		if m.Name == "" || len(m.Name) > maxNameBytes || state == 0 || !validAmount(m.Age, maxSeconds) {
			return nil, false, errImpossible
		}
		list = append(list, ListedMachine{Name: m.Name, Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
			State: state, Age: Seconds(m.Age)})
	}
	return list, *w.More, nil
}

// NoCapacity reports whether a refusal says that there are no machines, rather
// than that the cloud is in trouble.
func NoCapacity(body []byte) bool {
	var w struct {
		Error string `json:"error"`
	}
	return json.Unmarshal(body, &w) == nil && w.Error == "no capacity"
}
