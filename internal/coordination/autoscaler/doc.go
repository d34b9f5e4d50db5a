// Package autoscaler plans which machines to rent for work that waits. It takes the cloud's
// offers, the room of machines that boot and the demand, and gives the machines to ask for.
//
// It owns the choice among offers, by price, and one plan at a time. It knows no cloud, no
// clock, no machine that is up and no record: all of that is handed in as values, and the
// caller asks for what the plan says. It must never plan for more tasks of a team than its
// quota lets start: the machines would stand idle.
//
// CPUs and GPUs are counted in units of one, memory in GB, prices by machine and hour.
package autoscaler
