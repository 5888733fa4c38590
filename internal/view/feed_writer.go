package view

import (
	"encoding/binary"
	"math"
)

// writer appends what a page is made of.
type writer struct{ data []byte }

func (w *writer) uint(v uint64) { w.data = binary.AppendUvarint(w.data, v) }
func (w *writer) int(v int64)   { w.data = binary.AppendVarint(w.data, v) }
func (w *writer) text(s string) {
	s = s[:min(len(s), maxText)]
	w.uint(uint64(len(s)))
	w.data = append(w.data, s...)
}
func (w *writer) flag(v bool) {
	x := byte(0)
	if v {
		x = 1
	}
	w.data = append(w.data, x)
}

func (w *writer) row(snapshot *Snapshot, scope Scope, changed entry) {
	if changed.gone {
		if changed.job != nil && scope.job(changed.job) == nil || changed.eviction != nil && scope.Eviction(changed.eviction) == nil ||
			changed.kind == kindMachine && scope != Operators {
			return
		}
		w.data = append(w.data, byte(changed.kind)|flagGone)
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
	case kindEviction:
		v, _ := snapshot.evictions.Get(changed.key)
		if v = scope.Eviction(v); v != nil {
			w.eviction(v)
		}
	}
}

func (w *writer) job(job *Job) {
	w.data = append(w.data, byte(kindJob))
	w.text(job.ID)
	w.text(job.Team)
	w.text(job.Class)
	w.data = append(w.data, byte(job.Priority), byte(job.Status))
	w.flag(job.Service)
	w.flag(job.Suspect)
	w.flag(job.Evicting)
	for _, v := range []uint64{uint64(job.Tasks), uint64(job.Done), uint64(job.Placed), uint64(job.Awaits), uint64(job.Shard), job.Cpus, job.Gpus, job.Estimate} {
		w.uint(v)
	}
	for _, v := range []int64{job.Submit, job.From, job.Due, job.End} {
		w.int(v)
	}
}

func (w *writer) machine(machine *Machine) {
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

func (w *writer) eviction(eviction *Eviction) {
	w.data = append(w.data, byte(kindEviction))
	w.text(eviction.Key)
	w.text(eviction.Job)
	w.text(eviction.Team)
	w.int(eviction.At)
	w.uint(uint64(eviction.Shard))
	w.flag(eviction.Open)
	n := min(len(eviction.Victims), maxVictims)
	w.uint(uint64(n))
	for _, v := range eviction.Victims[:n] {
		w.text(v.Job)
		w.text(v.Team)
		w.uint(uint64(v.Task))
		w.uint(v.Attempt)
		w.uint(math.Float64bits(v.Score))
	}
}

func (s *Totals) fields() []*uint64 {
	return []*uint64{&s.Queued, &s.Running, &s.Finished, &s.Waiting, &s.Placed, &s.UsedCpus, &s.UsedGpus, &s.WaitsCpus}
}

func (f *Fleet) fields() []*uint64 {
	return []*uint64{&f.Machines, &f.Booting, &f.Cpus, &f.Gpus, &f.UsedCpus, &f.UsedGpus, &f.RateMicro}
}

func (t *Team) fields() []*uint64 {
	return append([]*uint64{&t.Cpus, &t.CpusMax, &t.Gpus, &t.GpusMax, &t.RateMicro, &t.DominantPM}, t.Totals.fields()...)
}

func (w *writer) all(fields []*uint64) {
	for _, f := range fields {
		w.uint(*f)
	}
}

func (w *writer) head(head Head) {
	w.text(head.Member)
	w.uint(head.Seq)
	w.uint(head.Revision)
	w.int(head.Now)
	w.int(head.AsOf)
	w.int(head.Since)
	w.flag(head.StateOK)
	w.text(head.Scope)
	w.uint(uint64(len(head.Teams)))
	for i := range head.Teams {
		w.text(head.Teams[i].Name)
		w.all(head.Teams[i].fields())
	}
	w.flag(head.Others != nil)
	if head.Others != nil {
		w.all(head.Others.fields())
	}
	w.all(head.Fleet.fields())
	w.uint(uint64(len(head.Members)))
	for _, n := range head.Members {
		w.text(n.Name)
		w.flag(n.Alive)
		w.flag(n.Leader)
		w.flag(n.Unfit)
		w.uint(uint64(len(n.Shares)))
		for _, s := range n.Shares {
			w.uint(uint64(s))
		}
	}
}
