package records

// Leader is the record of the current leader. It exists as long as the leader's lease.
type Leader struct {
	Controller  string `json:"node"` // the controller's name
	Zone        string `json:"zone"`
	Term        uint64 `json:"term"`
	Incarnation uint64 `json:"boot"` // distinguishes a process from an earlier one of the same name
}

// Term is the record of the highest term allocated so far.
type Term struct {
	Term uint64 `json:"term"`
}

// PreferredZone is the record of the zone from which a leader reaches the most machines.
type PreferredZone struct {
	Zone string `json:"zone"`
}
