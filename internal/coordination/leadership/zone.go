package leadership

// minZoneMachines is the minimum number of machines for which MajorityZone names a zone.
const minZoneMachines = 3

// MajorityZone returns the zone with more than two thirds of the machines, given the number of
// machines in each zone; ok is false if there is none. A partition between zones separates a
// leader in that zone from the fewest machines.
func MajorityZone(machines map[string]int) (zone string, ok bool) {
	total := 0
	for _, count := range machines {
		total += count
	}
	if total < minZoneMachines {
		return "", false
	}
	for name, count := range machines {
		if count*3 > total*2 {
			return name, true
		}
	}
	return "", false
}
