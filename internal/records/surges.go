package records

// Surge is the record of a team's surge that is under way.
type Surge struct {
	Number uint64  `json:"n"`     // never used again for the team
	Level  float64 `json:"level"` // CPUs that it usually wants
}

// Surges are the surges under way, by team.
type Surges map[string]Surge
