package records

// Surge is the record of a team's surge that is in progress.
type Surge struct {
	Number    uint64  `json:"n"`     // identifies the surge; never reused for the team
	UsualCPUs float64 `json:"level"` // the team's usual demand in CPUs
}

// Surges holds the surges in progress, by team.
type Surges map[string]Surge
