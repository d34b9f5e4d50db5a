package records

// MachineGroup is the record of a group of provisioned machines of the same type, zone and
// purchase option (spot or on demand).
type MachineGroup struct {
	Type     string         `json:"type"`
	Zone     string         `json:"zone"`
	Spot     bool           `json:"spot,omitempty"`
	Machines []MachineEntry `json:"m"`

	// LegacyProvisionedAt is set in records of a single machine, as earlier versions wrote them: when
	// the machine was provisioned, in Unix milliseconds. The key of such a record ends with the
	// machine's name.
	LegacyProvisionedAt int64 `json:"at,omitempty"`
}

// Size limits of a group: the bytes of its record besides the machines, and the maximum number of
// bytes that one machine with a long name takes.
const (
	groupOverheadBytes = 256
	bytesPerMachine    = 104

	minMachinesPerGroup = 4
	maxMachinesPerGroup = 50
)

// MachinesPerGroup returns how many machines fit into a value of the state service.
func MachinesPerGroup(valueBytes int) int {
	return max(minMachinesPerGroup, min(maxMachinesPerGroup, (valueBytes-groupOverheadBytes)/bytesPerMachine))
}

// MachineEntry is one machine of a group.
type MachineEntry struct {
	Name          string `json:"n"`
	ProvisionedAt int64  `json:"at"`          // when it was provisioned, in Unix milliseconds
	Addr          string `json:"a,omitempty"` // address of its worker, once it is known
}
