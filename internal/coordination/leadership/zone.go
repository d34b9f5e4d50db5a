package leadership

// minZoneMachines is the least number of machines that say something of zones.
const minZoneMachines = 3

// MajorityZone is the zone with more than two thirds of the machines, given by zone; ok is
// false where there is none. A leader in it is parted from as few machines as can be by a
// cut between zones.
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
