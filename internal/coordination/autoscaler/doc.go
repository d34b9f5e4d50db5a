// Package autoscaler plans which machines to provision for pending tasks. It takes the cloud's
// offers, the capacity of booting machines and the demand, and returns the machines to request.
//
// It owns the choice among offers, by price, and one plan at a time. It has no access to the
// cloud, a clock, running machines or records: all of these are passed in as values, and the
// caller requests the planned machines. It must never plan for more tasks of a team than the
// team's limit allows to start: the machines would be idle.
//
// CPUs and GPUs are counted in units of one, memory in GB, prices per machine and hour.
package autoscaler
