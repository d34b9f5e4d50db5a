package config

import (
	_ "embed"
	"encoding/json"
	"os"
	"time"

	"github.com/google/jsonschema-go/jsonschema"
)

//go:embed operator.schema.json
var operatorSchema []byte

// Operator holds what operators may set beyond the platform's settings.
type Operator struct {
	// ImageCacheWeight and FreeShareWeight are the weights of the placement score: of
	// the cached share of the image, and of the machine's free share.
	ImageCacheWeight float64 `json:"imageWeight"`
	FreeShareWeight  float64 `json:"roomWeight"`
	// HeadroomShare is the free room kept beyond what runs, as a share of it.
	HeadroomShare float64 `json:"headroomShare"`
	// IdleSeconds is how long a machine that is not needed is kept after its last task ended,
	// before it is scaled in.
	IdleSeconds float64 `json:"idleSeconds"`
	// LeaderLeaseSeconds is the time of a leader's lease: for so long it stays leader after it
	// last renewed it.
	LeaderLeaseSeconds float64 `json:"leaderLeaseSeconds"`
	// AllowSpot allows renting spot machines for jobs that may use them.
	AllowSpot bool `json:"spot"`
	// Sharding divides the machines among the controllers; nil: the leader serves all.
	Sharding *Sharding `json:"sharding,omitempty"`
	// Balance bounds what surging teams put on one machine; nil: it doesn't.
	Balance *Balance `json:"balance,omitempty"`
}

// Sharding says how machines are divided among the controllers.
type Sharding struct {
	// ShardsPerController times the number of controllers is the number of shards.
	ShardsPerController int `json:"shardsPerController"`
	// Drain says that this controller is to own no shard.
	Drain bool `json:"drain"`
}

// Balance says how the work of teams that surge is spread.
type Balance struct {
	// CeilingShare is the part of a machine that a surging team may take.
	CeilingShare float64 `json:"ceilingShare"`
	// MaxFetchBacklogSeconds is how many seconds of image fetching may queue on a machine.
	MaxFetchBacklogSeconds float64 `json:"fetchQueueSeconds"`
	// LoadPenaltySeconds is how many seconds of fetching it is worth to use a machine without
	// work of the team rather than one that it fills up to the ceiling.
	LoadPenaltySeconds float64 `json:"tradeSeconds"`
	// AllowMigrations allows running work of surging teams to be moved off hot machines.
	AllowMigrations bool `json:"moves"`
	// MigrationMargin is how many times its cost a move has to save.
	MigrationMargin float64 `json:"moveMargin"`
}

// defaultBalance leaves a surging team half of each machine.
var defaultBalance = Balance{CeilingShare: 0.5, MaxFetchBacklogSeconds: 20, LoadPenaltySeconds: 2, MigrationMargin: 1.5}

// UnmarshalJSON implements json.Unmarshaler: what is left out has its default.
func (b *Balance) UnmarshalJSON(raw []byte) error {
	type plain Balance
	p := plain(defaultBalance)
	if err := json.Unmarshal(raw, &p); err != nil {
		return err
	}
	*b = Balance(p)
	return nil
}

// MaxFetchBacklog is MaxFetchBacklogSeconds as a duration.
func (b *Balance) MaxFetchBacklog() time.Duration { return seconds(b.MaxFetchBacklogSeconds) }

// LoadPenalty is LoadPenaltySeconds as a duration.
func (b *Balance) LoadPenalty() time.Duration { return seconds(b.LoadPenaltySeconds) }

// defaultShardsPerController lets a shard be moved without moving half of what an owner has.
const defaultShardsPerController = 2

// UnmarshalJSON implements json.Unmarshaler: what is left out has its default.
func (s *Sharding) UnmarshalJSON(raw []byte) error {
	type plain Sharding
	p := plain{ShardsPerController: defaultShardsPerController}
	if err := json.Unmarshal(raw, &p); err != nil {
		return err
	}
	*s = Sharding(p)
	return nil
}

// DefaultOperator is used where operators set nothing.
func DefaultOperator() Operator {
	return Operator{ImageCacheWeight: 1, FreeShareWeight: 1, HeadroomShare: 0.2, IdleSeconds: 4, LeaderLeaseSeconds: 2, AllowSpot: true}
}

// IdleTimeout is IdleSeconds as a duration.
func (o *Operator) IdleTimeout() time.Duration { return seconds(o.IdleSeconds) }

// LeaderLease is LeaderLeaseSeconds as a duration.
func (o *Operator) LeaderLease() time.Duration { return seconds(o.LeaderLeaseSeconds) }

// LoadOperator reads the operators' settings from a file; an empty path gives the defaults. Its
// errors are those of os.ReadFile and of ParseOperator.
func LoadOperator(path string) (Operator, error) {
	o := DefaultOperator()
	if path == "" {
		return o, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return o, err
	}
	return o, ParseOperator(raw, &o)
}

// ParseOperator checks raw against the schema and sets what it names in o. What is wrong with
// raw comes as an *OperatorError.
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
