package records

// Surge is the record of a team's surge that is in progress.
type Surge struct {
	Number    uint64  `json:"n"`     // identifies the surge: its start in Unix milliseconds, or a higher number to exceed all earlier ones of the team
	UsualCPUs float64 `json:"level"` // the team's usual demand in CPUs
}

// Surges holds the surges in progress, by team.
type Surges map[string]Surge
