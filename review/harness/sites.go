package harness

import "time"

// TeoriproveNord returns settings like those of Teoriprøve Nord in its first, small form.
func TeoriproveNord() Settings {
	zones := []string{"oslo-vest", "trondheim-sor"}
	return Settings{
		Zones: zones, Report: 1500 * time.Millisecond, Lease: 14 * time.Second, Cancel: 39 * time.Second,
		Types:    []MachineType{{Label: "fjord-4", CPUs: 4, MemGB: 16, LocalGB: 40, FetchGBs: 0.25, Rate: 0.25, SpotPrice: 0.09, ReadyS: 15, Zones: zones[:1]}},
		Teams:    []Team{{"exam-ops", 24, 64}, {"question-bank", 24, 40}, {"scoring-team", 40, 150}},
		StateRPS: 200, StateWrites: 80, ListLag: 5 * time.Second,
	}
}

// ZhuzymLogs returns settings like those of Zhuzym in its first, small form.
func ZhuzymLogs() Settings {
	zones := []string{"almaty-east"}
	return Settings{
		Zones: zones, Report: 3 * time.Second, Lease: 28 * time.Second, Cancel: 48 * time.Second,
		Types:    []MachineType{{Label: "saryagash-16", CPUs: 16, MemGB: 128, LocalGB: 40, FetchGBs: 0.5, Rate: 0.86, SpotPrice: 0.32, ReadyS: 20, Zones: zones}},
		Teams:    []Team{{"ledger-crew", 96, 232}, {"plot-analytics", 120, 352}, {"press-data", 104, 176}, {"grower-desk", 96, 288}},
		StateRPS: 120, StateWrites: 40, ListLag: 12 * time.Second,
	}
}

// Fjell8 is the larger machine type of Teoriprøve Nord.
var Fjell8 = MachineType{Label: "fjell-8", CPUs: 8, MemGB: 64, LocalGB: 35, FetchGBs: 0.8, Rate: 0.58, SpotPrice: 0.2, ReadyS: 40,
	Zones: []string{"oslo-vest"}}

// BankRefresh returns an array of the class bank-refresh.
func BankRefresh(id string, tasks int, runs time.Duration) Job {
	return Job{ID: id, Class: "bank-refresh", Team: "scoring-team", Rig: "batch", Precedence: "standard", Tasks: tasks, CPUs: 2, MemGB: 6,
		Image: "img-01", PullGB: 0.5, Runs: runs}
}

// ExamDesk returns a service of the class exam-desk.
func ExamDesk(id string, replicas int) Job {
	return Job{ID: id, Class: "exam-desk", Team: "exam-ops", Rig: "daemon", Precedence: "critical", Tasks: replicas, CPUs: 2, MemGB: 6,
		Image: "img-01", PullGB: 0.5}
}
