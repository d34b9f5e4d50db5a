package records

// Leader is the record of who leads. It is there as long as the leader's lease.
type Leader struct {
	Node        string `json:"node"` // the controller's name
	Zone        string `json:"zone"`
	Term        uint64 `json:"term"`
	Incarnation uint64 `json:"boot"` // tells a process from its predecessor of the same name
}

// Term is the record of the highest term so far.
type Term struct {
	Term uint64 `json:"term"`
}

// PreferredZone is the record of the zone from which a leader reaches most machines.
type PreferredZone struct {
	Zone string `json:"zone"`
}
