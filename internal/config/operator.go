package config

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/google/jsonschema-go/jsonschema"
)

//go:embed operator.schema.json
var operatorSchema []byte

// Operator holds the settings that operators may set in addition to the platform's.
type Operator struct {
	// ImageCacheWeight and FreeShareWeight are weights in the placement score: that of the cached
	// share of a task's image, and that of the machine's free share.
	ImageCacheWeight float64 `json:"imageWeight"`
	FreeShareWeight  float64 `json:"roomWeight"`
	// HeadroomShare is the free capacity to keep, as a share of the capacity in use.
	HeadroomShare float64 `json:"headroomShare"`
	// IdleSeconds is how long a machine that is not needed is kept after its last task ended,
	// before it is terminated.
	IdleSeconds float64 `json:"idleSeconds"`
	// LeaderLeaseSeconds is the duration of the leader's lease: how long it stays leader after
	// the last renewal.
	LeaderLeaseSeconds float64 `json:"leaderLeaseSeconds"`
	// AllowSpot allows provisioning spot machines for jobs that may use them.
	AllowSpot bool `json:"spot"`
	// Sharding divides the machines among the controllers; nil: the leader serves all of them.
	Sharding *Sharding `json:"sharding,omitempty"`
	// Balance limits the load that surging teams put on one machine; nil: there is no limit.
	Balance *Balance `json:"balance,omitempty"`
}

// Sharding configures how machines are divided among the controllers.
type Sharding struct {
	// ShardsPerController times the number of controllers is the number of shards.
	ShardsPerController int `json:"shardsPerController"`
	// Drain makes this controller hand over its shards and own none.
	Drain bool `json:"drain"`
}

// Balance configures how the tasks of surging teams are spread over machines.
type Balance struct {
	// CeilingShare is the share of a machine that the tasks of a surging team may take.
	CeilingShare float64 `json:"ceilingShare"`
	// MaxFetchBacklogSeconds is how many seconds of image fetching may queue on a machine.
	MaxFetchBacklogSeconds float64 `json:"fetchQueueSeconds"`
	// LoadPenaltySeconds is how strongly a team's load on a machine counts in placement, in
	// seconds of image fetching: a machine that the team fills up to the ceiling is ranked like
	// one without tasks of the team on which fetching the image takes this much longer. 0: the
	// load doesn't count.
	LoadPenaltySeconds float64 `json:"tradeSeconds"`
	// AllowMigrations allows migrating running tasks of surging teams off overloaded machines.
	AllowMigrations bool `json:"moves"`
	// MigrationMargin is the smallest ratio of the time that a migration saves to its cost.
	MigrationMargin float64 `json:"moveMargin"`
}

// defaultBalance holds the defaults of Balance: a surging team may use up to half of each machine,
// and running tasks aren't migrated.
var defaultBalance = Balance{CeilingShare: 0.5, MaxFetchBacklogSeconds: 20, LoadPenaltySeconds: 2, MigrationMargin: 1.5}

// UnmarshalJSON implements json.Unmarshaler. Omitted fields have their defaults.
func (b *Balance) UnmarshalJSON(raw []byte) error {
	type plain Balance
	p := plain(defaultBalance)
	if err := json.Unmarshal(raw, &p); err != nil {
		return err
	}
	*b = Balance(p)
	return nil
}

// MaxFetchBacklog returns MaxFetchBacklogSeconds as a duration.
func (b *Balance) MaxFetchBacklog() time.Duration { return seconds(b.MaxFetchBacklogSeconds) }

// LoadPenalty returns LoadPenaltySeconds as a duration.
func (b *Balance) LoadPenalty() time.Duration { return seconds(b.LoadPenaltySeconds) }

// defaultShardsPerController is more than 1 so that load can be moved between controllers in
// parts of what one of them serves.
const defaultShardsPerController = 2

// UnmarshalJSON implements json.Unmarshaler. Omitted fields have their defaults.
func (s *Sharding) UnmarshalJSON(raw []byte) error {
	type plain Sharding
	p := plain{ShardsPerController: defaultShardsPerController}
	if err := json.Unmarshal(raw, &p); err != nil {
		return err
	}
	*s = Sharding(p)
	return nil
}

// DefaultOperator returns the defaults of the operators' settings.
func DefaultOperator() Operator {
	return Operator{ImageCacheWeight: 1, FreeShareWeight: 1, HeadroomShare: 0.2, IdleSeconds: 4, LeaderLeaseSeconds: 2, AllowSpot: true}
}

// IdleTimeout returns IdleSeconds as a duration.
func (o *Operator) IdleTimeout() time.Duration { return seconds(o.IdleSeconds) }

// LeaderLease returns LeaderLeaseSeconds as a duration.
func (o *Operator) LeaderLease() time.Duration { return seconds(o.LeaderLeaseSeconds) }

// LoadOperator reads the operators' settings from a file. With an empty path it returns the
// defaults. Its errors are those of os.ReadFile, and those of ParseOperator with the path.
func LoadOperator(path string) (Operator, error) {
	o := DefaultOperator()
	if path == "" {
		return o, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return o, err
	}
	if err := ParseOperator(raw, &o); err != nil {
		return o, fmt.Errorf("%s: %w", path, err)
	}
	return o, nil
}

// ParseOperator validates raw against the schema and overwrites the settings in o that raw
// contains. If raw is invalid, the error is an *OperatorError.
func ParseOperator(raw []byte, o *Operator) error {
	var schema jsonschema.Schema
	if err := json.Unmarshal(operatorSchema, &schema); err != nil {
		return err
	}
	resolved, err := schema.Resolve(nil)
	if err != nil {
		return err
	}
	var value any
	if err := json.Unmarshal(raw, &value); err != nil {
		return &OperatorError{err}
	}
	if err := resolved.Validate(value); err != nil {
		return &OperatorError{err}
	}
	return json.Unmarshal(raw, o)
}
