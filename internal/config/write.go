package config

import "github.com/pelletier/go-toml/v2"

// Encode returns the settings in the format that Parse reads. A limit of 0 can't be represented:
// in the file, 0 means no limit.
func (s *Settings) Encode() ([]byte, error) {
	var f settingsFile
	f.Name, f.Zone, f.Listen, f.PeerListen = s.Name, s.Zone, s.ListenAddr, s.PeerListenAddr
	for _, p := range s.Peers {
		f.Peers = append(f.Peers, peerEntry(p))
	}
	f.Services.Cloud, f.Services.State = s.CloudAddr, s.StateAddr
	f.Params.TimeBoundMS = s.MaxClockSkew.Seconds() * 1000
	for _, t := range s.Teams {
		f.Params.Teams = append(f.Params.Teams, teamEntry{Name: t.Name, CPUs: t.GuaranteedCPUs, GPUs: t.GuaranteedGPUs,
			CPUsMax: limitToFile(t.MaxCPUs), GPUsMax: limitToFile(t.MaxGPUs)})
	}
	for _, o := range s.Objectives {
		f.Params.Objectives = append(f.Params.Objectives, objectiveEntry{Kind: o.Kind, Class: o.Class,
			WithinS: o.Within.Seconds(), AfterS: o.After.Seconds(), Share: o.Share, Times: o.RuntimeMultiple})
	}
	w, st, cl, q := &f.Params.Workers, &f.Params.State, &f.Params.Cloud, &f.Params.Quota
	w.ReportS, w.LeaseS, w.CancelS = s.HeartbeatInterval.Seconds(), s.WorkerLease.Seconds(), s.CancelDeadline.Seconds()
	st.RPS, st.WriteRPS, st.TxnOps = s.StateRPS, s.StateWriteRPS, s.MaxTxnOps
	st.ValueKB = float64(s.MaxValueBytes) / 1024
	cl.RPS, cl.ListLagS = s.CloudRPS, s.ListLag.Seconds()
	q.CPU, q.RAMMB, q.Sockets = s.CPUShare, float64(s.MemoryBytes)/(1<<20), s.MaxSockets
	return toml.Marshal(f)
}

// limitToFile is the inverse of limitFromFile: it returns 0 for NoLimit.
func limitToFile(limit float64) float64 {
	if limit == NoLimit {
		return 0
	}
	return limit
}
