package config

import "github.com/pelletier/go-toml/v2"

// Encode writes settings in the form that Parse reads. A maximum of 0 can't be written:
// in that form 0 stands for no limit.
func (s *Settings) Encode() ([]byte, error) {
	var f file
	f.Name, f.Zone, f.Listen, f.PeerListen = s.Name, s.Zone, s.Listen, s.PeerListen
	for _, p := range s.Peers {
		f.Peers = append(f.Peers, filePeer(p))
	}
	f.Services.Cloud, f.Services.State = s.Cloud, s.State
	f.Params.TimeBoundMS = s.TimeBound.Seconds() * 1000
	for _, t := range s.Teams {
		f.Params.Teams = append(f.Params.Teams, fileTeam{Name: t.Name, CPUs: t.CPUs, GPUs: t.GPUs,
			CPUsMax: writtenLimit(t.CPUsMax), GPUsMax: writtenLimit(t.GPUsMax)})
	}
	for _, o := range s.Objectives {
		f.Params.Objectives = append(f.Params.Objectives, fileObjective{Kind: o.Kind, Class: o.Class,
			WithinS: o.Within.Seconds(), AfterS: o.After.Seconds(), Share: o.Share, Times: o.Times})
	}
	w, st, cl, q := &f.Params.Workers, &f.Params.State, &f.Params.Cloud, &f.Params.Quota
	w.ReportS, w.LeaseS, w.CancelS = s.HeartbeatInterval.Seconds(), s.WorkerLease.Seconds(), s.CancelWithin.Seconds()
	st.RPS, st.WriteRPS, st.TxnOps = s.StateRPS, s.StateWriteRPS, s.TxnOps
	st.ValueKB = float64(s.ValueBytes) / 1024
	cl.RPS, cl.ListLagS = s.CloudRPS, s.ListLag.Seconds()
	q.CPU, q.RAMMB, q.Sockets = s.CPUShare, float64(s.MemoryBytes)/(1<<20), s.Sockets
	return toml.Marshal(f)
}

// writtenLimit is the inverse of limit.
func writtenLimit(most float64) float64 {
	if most == NoLimit {
		return 0
	}
	return most
}
