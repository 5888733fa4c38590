package view

import (
	"encoding/binary"
	"math"

	"dykeledge/internal/protocol"
)

// reader takes a page apart. Once something is malformed it stays bad, and what it returns means nothing.
type reader struct {
	data []byte
	bad  bool
}

func (r *reader) byte() byte {
	if len(r.data) == 0 {
		r.bad = true
		return 0
	}
	x := r.data[0]
	r.data = r.data[1:]
	return x
}

func (r *reader) below(n byte) byte {
	x := r.byte()
	if x >= n {
		r.bad = true
		return 0
	}
	return x
}

func (r *reader) flag() bool { return r.below(2) == 1 }

func (r *reader) uint() uint64 {
	v, n := binary.Uvarint(r.data)
	if n <= 0 {
		r.bad = true
		return 0
	}
	r.data = r.data[n:]
	return v
}

func (r *reader) u32() uint32 {
	v := r.uint()
	if v > math.MaxUint32 {
		r.bad = true
		return 0
	}
	return uint32(v)
}

func (r *reader) int() int64 {
	v, n := binary.Varint(r.data)
	if n <= 0 {
		r.bad = true
		return 0
	}
	r.data = r.data[n:]
	return v
}

func (r *reader) text() string {
	n := r.uint()
	if n > maxText || n > uint64(len(r.data)) {
		r.bad = true
		return ""
	}
	s := string(r.data[:n])
	r.data = r.data[n:]
	return s
}

// count reads how many things follow that take at least a byte each.
func (r *reader) count() int {
	n := r.uint()
	if n > uint64(len(r.data)) {
		r.bad = true
		return 0
	}
	return int(n)
}

func (r *reader) row(page *Page, k byte) {
	if k&flagGone != 0 {
		key := r.text()
		switch kind(k &^ flagGone) {
		case kindJob:
			page.rows = append(page.rows, func(m *Model) { m.DropJob(key) })
		case kindMachine:
			page.rows = append(page.rows, func(m *Model) { m.DropMachine(key) })
		case kindEviction:
			page.rows = append(page.rows, func(m *Model) { m.DropEviction(key) })
		default:
			r.bad = true
		}
		return
	}
	switch kind(k) {
	case kindJob:
		j := r.job()
		page.rows = append(page.rows, func(m *Model) { m.PutJob(j) })
	case kindMachine:
		x := r.machine()
		page.rows = append(page.rows, func(m *Model) { m.PutMachine(x) })
	case kindEviction:
		e := r.eviction()
		page.rows = append(page.rows, func(m *Model) { m.PutEviction(e) })
	default:
		r.bad = true
	}
}

func (r *reader) job() Job {
	job := Job{ID: r.text(), Team: r.text(), Class: r.text()}
	job.Priority, job.Status = protocol.Priority(r.below(byte(protocol.Production)+1)), Status(r.below(byte(Cancelled)+1))
	job.Service, job.Suspect, job.Evicting = r.flag(), r.flag(), r.flag()
	for _, v := range []*uint32{&job.Tasks, &job.Done, &job.Placed, &job.Awaits, &job.Shard} {
		*v = r.u32()
	}
	for _, v := range []*uint64{&job.Cpus, &job.Gpus, &job.Estimate} {
		*v = r.uint()
	}
	for _, v := range []*int64{&job.Submit, &job.From, &job.Due, &job.End} {
		*v = r.int()
	}
	return job
}

func (r *reader) machine() Machine {
	m := Machine{Name: r.text(), Type: r.text(), Zone: r.text(), Spot: r.flag()}
	m.State = MachineState(r.below(byte(Returning) + 1))
	m.Shard, m.Tasks = r.u32(), r.u32()
	for _, v := range []*uint64{&m.Cpus, &m.Gpus, &m.UsedCpus, &m.UsedGpus, &m.Price} {
		*v = r.uint()
	}
	for range r.count() {
		m.Uses = append(m.Uses, Use{r.text(), r.u32(), r.uint(), r.uint()})
	}
	return m
}

func (r *reader) eviction() Eviction {
	e := Eviction{Key: r.text(), Job: r.text(), Team: r.text(), At: r.int(), Shard: r.u32(), Open: r.flag()}
	if e.Key == "" {
		r.bad = true
	}
	for range r.count() {
		v := Victim{Job: r.text(), Team: r.text(), Task: r.u32(), Attempt: r.uint(), Score: math.Float64frombits(r.uint())}
		if math.IsNaN(v.Score) || math.IsInf(v.Score, 0) {
			r.bad = true // JSON has no such numbers
		}
		e.Victims = append(e.Victims, v)
	}
	return e
}

func (r *reader) all(fields []*uint64) {
	for _, f := range fields {
		*f = r.uint()
	}
}

func (r *reader) head(epoch uint64) *Head {
	head := &Head{Epoch: epoch, Member: r.text(), Seq: r.uint(), Revision: r.uint(), Now: r.int(), AsOf: r.int(), Since: r.int(),
		StateOK: r.flag(), Scope: r.text(), Teams: []Team{}, Members: []Member{}}
	for range r.count() {
		t := Team{Name: r.text()}
		r.all(t.fields())
		head.Teams = append(head.Teams, t)
	}
	if r.flag() {
		head.Others = &Totals{}
		r.all(head.Others.fields())
	}
	r.all(head.Fleet.fields())
	for range r.count() {
		n := Member{Name: r.text(), Alive: r.flag(), Leader: r.flag(), Unfit: r.flag(), Shares: []uint32{}}
		for range r.count() {
			n.Shares = append(n.Shares, r.u32())
		}
		head.Members = append(head.Members, n)
	}
	return head
}
