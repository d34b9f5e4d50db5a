package coordination

import (
	"brasskeel/internal/coordination/autoscaler"
	"brasskeel/internal/protocol"
)

// catalog is what the cloud offers, as far as operators let it be rented.
func (l *leader) catalog() autoscaler.Catalog {
	return autoscaler.Catalog{Types: l.controller.types, Spot: l.controller.operator.Spot}
}

// offers lists what can be rented now, cheapest per CPU first.
func (l *leader) offers() []autoscaler.Offer {
	return l.catalog().Offers(func(key autoscaler.OfferKey) bool {
		return !l.controller.now.Before(l.autoscaler.unavailableUntil[key])
	})
}

// overpriced reports whether a machine isn't rented for a job at the price: teams without
// a guarantee take what is idle, and what is cheap.
func (l *leader) overpriced(j *job, o autoscaler.Offer) bool {
	t := l.controller.teams[j.Team]
	if t == nil || t.CPUs > 0 || t.GPUs > 0 || j.Priority == protocol.Critical {
		return false
	}
	return l.catalog().TooExpensive(j.Job, o)
}

// offer is the offer that a machine was rented by. Its type must be known.
func (m *machine) offer() autoscaler.Offer {
	return autoscaler.Offer{Spec: m.Spec, Zone: m.Zone, Spot: m.Spot}
}
