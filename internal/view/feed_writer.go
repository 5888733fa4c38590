package view

import (
	"encoding/binary"
	"math"
)

// pageEncoder appends the encoded parts of a page to data.
type pageEncoder struct{ data []byte }

func (w *pageEncoder) uint(v uint64) { w.data = binary.AppendUvarint(w.data, v) }
func (w *pageEncoder) int(v int64)   { w.data = binary.AppendVarint(w.data, v) }
func (w *pageEncoder) text(s string) {
	s = s[:min(len(s), maxTextBytes)]
	w.uint(uint64(len(s)))
	w.data = append(w.data, s...)
}
func (w *pageEncoder) flag(v bool) {
	x := byte(0)
	if v {
		x = 1
	}
	w.data = append(w.data, x)
}

func (w *pageEncoder) row(snapshot *Snapshot, scope Scope, changed logEntry) {
	if changed.removed {
		if changed.job != nil && scope.job(changed.job) == nil || changed.victimSet != nil && scope.VictimSet(changed.victimSet) == nil ||
			changed.kind == kindMachine && scope != Operators {
			return
		}
		w.data = append(w.data, byte(changed.kind)|flagRemoved)
		w.text(changed.key)
		return
	}
	switch changed.kind {
	case kindJob:
		if j, _ := snapshot.jobs.Get(changed.key); scope.job(j) != nil {
			w.job(j)
		}
	case kindMachine:
		if m, _ := snapshot.machines.Get(changed.key); scope.machine(m) != nil {
			w.machine(m)
		}
	case kindVictimSet:
		v, _ := snapshot.victimSets.Get(changed.key)
		if v = scope.VictimSet(v); v != nil {
			w.victimSet(v)
		}
	}
}

func (w *pageEncoder) job(job *Job) {
	w.data = append(w.data, byte(kindJob))
	w.text(job.ID)
	w.text(job.Team)
	w.text(job.Class)
	w.data = append(w.data, byte(job.Priority), byte(job.Status))
	w.flag(job.Service)
	w.flag(job.Suspect)
	w.flag(job.Preempting)
	for _, v := range []uint64{uint64(job.Tasks), uint64(job.Done), uint64(job.Placed), uint64(job.UnmetDependencies), uint64(job.Shard), job.Cpus, job.Gpus, job.EstimateMs} {
		w.uint(v)
	}
	for _, v := range []int64{job.SubmittedMs, job.ReadyMs, job.DeadlineMs, job.EndedMs} {
		w.int(v)
	}
}

func (w *pageEncoder) machine(machine *Machine) {
	w.data = append(w.data, byte(kindMachine))
	w.text(machine.Name)
	w.text(machine.Type)
	w.text(machine.Zone)
	w.flag(machine.Spot)
	w.data = append(w.data, byte(machine.State))
	for _, v := range []uint64{uint64(machine.Shard), uint64(machine.Tasks), machine.Cpus, machine.Gpus, machine.UsedCpus, machine.UsedGpus, machine.Price, uint64(len(machine.Uses))} {
		w.uint(v)
	}
	for _, u := range machine.Uses {
		w.text(u.Team)
		w.uint(uint64(u.Tasks))
		w.uint(u.Cpus)
		w.uint(u.Gpus)
	}
}

func (w *pageEncoder) victimSet(victimSet *VictimSet) {
	w.data = append(w.data, byte(kindVictimSet))
	w.text(victimSet.Key)
	w.text(victimSet.Job)
	w.text(victimSet.Team)
	w.int(victimSet.ChosenAtMs)
	w.uint(uint64(victimSet.Shard))
	w.flag(victimSet.Open)
	n := min(len(victimSet.Victims), maxVictims)
	w.uint(uint64(n))
	for _, v := range victimSet.Victims[:n] {
		w.text(v.Job)
		w.text(v.Team)
		w.uint(uint64(v.Task))
		w.uint(v.Attempt)
		w.uint(math.Float64bits(v.Score))
	}
}

func (s *Totals) fields() []*uint64 {
	return []*uint64{&s.Queued, &s.Running, &s.Finished, &s.Waiting, &s.Placed, &s.UsedCpus, &s.UsedGpus, &s.WaitingCpus}
}

func (f *Fleet) fields() []*uint64 {
	return []*uint64{&f.Machines, &f.Booting, &f.Cpus, &f.Gpus, &f.UsedCpus, &f.UsedGpus, &f.RateMicro}
}

func (t *Team) fields() []*uint64 {
	return append([]*uint64{&t.Cpus, &t.CpusMax, &t.Gpus, &t.GpusMax, &t.RateMicro, &t.DominantPM}, t.Totals.fields()...)
}

func (w *pageEncoder) uints(fields []*uint64) {
	for _, f := range fields {
		w.uint(*f)
	}
}

func (w *pageEncoder) head(head Head) {
	w.text(head.Member)
	w.uint(head.Seq)
	w.uint(head.Revision)
	w.int(head.NowMs)
	w.int(head.AsOfMs)
	w.int(head.FinalSinceMs)
	w.flag(head.StateServiceOK)
	w.text(head.Scope)
	w.uint(uint64(len(head.Teams)))
	for i := range head.Teams {
		w.text(head.Teams[i].Name)
		w.uints(head.Teams[i].fields())
	}
	w.flag(head.Others != nil)
	if head.Others != nil {
		w.uints(head.Others.fields())
	}
	w.uints(head.Fleet.fields())
	w.uint(uint64(len(head.Members)))
	for _, n := range head.Members {
		w.text(n.Name)
		w.flag(n.Alive)
		w.flag(n.Leader)
		w.flag(n.NotReady)
		w.uint(uint64(len(n.Shards)))
		for _, s := range n.Shards {
			w.uint(uint64(s))
		}
	}
}
