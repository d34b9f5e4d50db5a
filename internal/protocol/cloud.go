package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Paths of the cloud's interface.
const (
	PathTypes   = "/flavors"
	PathHosts   = "/hosts"
	PathRelease = "/hosts/release"
)

// Limits of the cloud's calls.
const (
	MaxRent    = 50
	MaxRelease = 100
	MaxListed  = 500
)

var errOdd = errors.New("an answer that makes no sense")

type wireType struct {
	Name      string   `json:"label"`
	CPUs      float64  `json:"cpus"`
	GPUs      float64  `json:"gpus"`
	MemGB     float64  `json:"memGb"`
	CacheGB   float64  `json:"localGb"`
	FetchRate float64  `json:"fetchGbPerS"`
	Price     float64  `json:"rate"`
	SpotPrice float64  `json:"spotPrice"`
	Boot      float64  `json:"readyS"`
	Zones     []string `json:"harbours"`
}

type wireHost struct {
	Name  string  `json:"nameId"`
	Addr  string  `json:"endpoint"`
	Type  string  `json:"hullForm"`
	Zone  string  `json:"harbour"`
	Spot  bool    `json:"driftwood"`
	State string  `json:"bearing"`
	Age   float64 `json:"ageS"`
}

// ParseTypes reads the cloud's machine types.
func ParseTypes(body []byte) ([]MachineType, error) {
	var w struct {
		Types []wireType `json:"hullForms"`
	}
	if err := json.Unmarshal(body, &w); err != nil {
		return nil, err
	}
	if len(w.Types) == 0 {
		return nil, errOdd
	}
	types := make([]MachineType, 0, len(w.Types))
	for _, t := range w.Types {
		if t.Name == "" || t.CPUs <= 0 || t.MemGB < 0 || t.GPUs < 0 || t.Price < 0 || t.Boot < 0 || t.Boot > maxSeconds {
			return nil, errOdd
		}
		types = append(types, MachineType{Name: t.Name, CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemGB, CacheGB: t.CacheGB,
			FetchRate: t.FetchRate, Price: t.Price, SpotPrice: t.SpotPrice, Boot: Seconds(t.Boot), Zones: t.Zones})
	}
	return types, nil
}

// RentBody asks for machines.
func RentBody(request, typ, zone string, spot bool, count int) []byte {
	return Encode(RentRequest{request, typ, zone, spot, count})
}

// ParseNames reads the names of the machines that were rented.
func ParseNames(body []byte) ([]string, error) {
	var w struct {
		Names []string `json:"decks"`
	}
	if err := json.Unmarshal(body, &w); err != nil {
		return nil, err
	}
	if w.Names == nil {
		return nil, errOdd
	}
	for _, n := range w.Names {
		if n == "" || len(n) > maxName {
			return nil, errOdd
		}
	}
	return w.Names, nil
}

// ReleaseBody names machines to return.
func ReleaseBody(names []string) []byte {
	return EncodeNames(names)
}

// ListTarget is the target of one page of the cloud's list.
func ListTarget(after string) string {
	t := fmt.Sprintf("%s?limit=%d", PathHosts, MaxListed)
	if after != "" {
		t += "&after=" + escape(after)
	}
	return t
}

// ParseList reads one page of the cloud's list.
func ParseList(body []byte) (list []ListedMachine, more bool, err error) {
	var w struct {
		Machines []wireHost `json:"decks"`
		More     *bool      `json:"more"`
	}
	if err := json.Unmarshal(body, &w); err != nil {
		return nil, false, err
	}
	if w.Machines == nil || w.More == nil {
		return nil, false, errOdd
	}
	for _, m := range w.Machines {
		state := map[string]MachineState{"starting": Booting, "running": Up, "failed": Failed}[m.State]
		if m.Name == "" || len(m.Name) > maxName || state == 0 || !validAmount(m.Age, maxSeconds) {
			return nil, false, errOdd
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
