package records

// MachineGroup is the record of some machines of one kind that were provisioned.
type MachineGroup struct {
	Type     string         `json:"type"`
	Zone     string         `json:"zone"`
	Spot     bool           `json:"spot,omitempty"`
	Machines []MachineEntry `json:"m"`

	// LegacyRentedAt is when the machine was provisioned, in Unix milliseconds, of a record from
	// before machines shared them. Such a record's key ends with the name of its machine.
	LegacyRentedAt int64 `json:"at,omitempty"`
}

// Bounds of a group: bytes beside its machines, and bytes of one with a long name at the most.
const (
	groupOverheadBytes = 256
	bytesPerMachine    = 104

	minMachinesPerGroup = 4
	maxMachinesPerGroup = 50
)

// MachinesPerGroup is how many machines fit a value of the state service.
func MachinesPerGroup(valueBytes int) int {
	return max(minMachinesPerGroup, min(maxMachinesPerGroup, (valueBytes-groupOverheadBytes)/bytesPerMachine))
}

// MachineEntry is one machine of a group.
type MachineEntry struct {
	Name     string `json:"n"`
	RentedAt int64  `json:"at"`          // when it was provisioned, in Unix milliseconds
	Addr     string `json:"a,omitempty"` // of its worker, once it is known
}
