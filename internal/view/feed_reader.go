package view

import (
	"encoding/binary"
	"math"

	"dykeledge/internal/protocol"
)

// pageDecoder decodes a page. After the first decoding error malformed stays set and the values that its
// methods return are meaningless.
type pageDecoder struct {
	data      []byte
	malformed bool
}

func (r *pageDecoder) byte() byte {
	if len(r.data) == 0 {
		r.malformed = true
		return 0
	}
	x := r.data[0]
	r.data = r.data[1:]
	return x
}

func (r *pageDecoder) byteBelow(n byte) byte {
	x := r.byte()
	if x >= n {
		r.malformed = true
		return 0
	}
	return x
}

func (r *pageDecoder) flag() bool { return r.byteBelow(2) == 1 }

func (r *pageDecoder) uint() uint64 {
	v, n := binary.Uvarint(r.data)
	if n <= 0 {
		r.malformed = true
		return 0
	}
	r.data = r.data[n:]
	return v
}

func (r *pageDecoder) uint32() uint32 {
	v := r.uint()
	if v > math.MaxUint32 {
		r.malformed = true
		return 0
	}
	return uint32(v)
}

func (r *pageDecoder) int() int64 {
	v, n := binary.Varint(r.data)
	if n <= 0 {
		r.malformed = true
		return 0
	}
	r.data = r.data[n:]
	return v
}

func (r *pageDecoder) text() string {
	n := r.uint()
	if n > maxTextBytes || n > uint64(len(r.data)) {
		r.malformed = true
		return ""
	}
	s := string(r.data[:n])
	r.data = r.data[n:]
	return s
}

// count reads the number of items that follow. Each item takes at least one byte, so a count larger than
// the remaining bytes is malformed.
func (r *pageDecoder) count() int {
	n := r.uint()
	if n > uint64(len(r.data)) {
		r.malformed = true
		return 0
	}
	return int(n)
}

func (r *pageDecoder) row(page *Page, k byte) {
	if k&flagRemoved != 0 {
		key := r.text()
		switch rowKind(k &^ flagRemoved) {
		case kindJob:
			page.changes = append(page.changes, func(m *Model) { m.DropJob(key) })
		case kindMachine:
			page.changes = append(page.changes, func(m *Model) { m.DropMachine(key) })
		case kindVictimSet:
			page.changes = append(page.changes, func(m *Model) { m.DropVictimSet(key) })
		default:
			r.malformed = true
		}
		return
	}
	switch rowKind(k) {
	case kindJob:
		j := r.job()
		page.changes = append(page.changes, func(m *Model) { m.PutJob(j) })
	case kindMachine:
		x := r.machine()
		page.changes = append(page.changes, func(m *Model) { m.PutMachine(x) })
	case kindVictimSet:
		e := r.victimSet()
		page.changes = append(page.changes, func(m *Model) { m.PutVictimSet(e) })
	default:
		r.malformed = true
	}
}

func (r *pageDecoder) job() Job {
	job := Job{ID: r.text(), Team: r.text(), Class: r.text()}
	job.Priority, job.Status = protocol.Priority(r.byteBelow(byte(protocol.Production)+1)), Status(r.byteBelow(byte(Cancelled)+1))
	job.Service, job.Suspect, job.Preempting = r.flag(), r.flag(), r.flag()
	for _, v := range []*uint32{&job.Tasks, &job.Done, &job.Placed, &job.UnmetDependencies, &job.Shard} {
		*v = r.uint32()
	}
	for _, v := range []*uint64{&job.Cpus, &job.Gpus, &job.EstimateMs} {
		*v = r.uint()
	}
	for _, v := range []*int64{&job.SubmittedMs, &job.ReadyMs, &job.DeadlineMs, &job.EndedMs} {
		*v = r.int()
	}
	return job
}

func (r *pageDecoder) machine() Machine {
	m := Machine{Name: r.text(), Type: r.text(), Zone: r.text(), Spot: r.flag()}
	m.State = MachineState(r.byteBelow(byte(Returning) + 1))
	m.Shard, m.Tasks = r.uint32(), r.uint32()
	for _, v := range []*uint64{&m.Cpus, &m.Gpus, &m.UsedCpus, &m.UsedGpus, &m.Price} {
		*v = r.uint()
	}
	for range r.count() {
		m.Uses = append(m.Uses, MachineUse{r.text(), r.uint32(), r.uint(), r.uint()})
	}
	return m
}

func (r *pageDecoder) victimSet() VictimSet {
	e := VictimSet{Key: r.text(), Job: r.text(), Team: r.text(), ChosenAtMs: r.int(), Shard: r.uint32(), Open: r.flag()}
	if e.Key == "" {
		r.malformed = true
	}
	for range r.count() {
		v := Victim{Job: r.text(), Team: r.text(), Task: r.uint32(), Attempt: r.uint(), Score: math.Float64frombits(r.uint())}
		if math.IsNaN(v.Score) || math.IsInf(v.Score, 0) {
			r.malformed = true // JSON cannot encode these values
		}
		e.Victims = append(e.Victims, v)
	}
	return e
}

func (r *pageDecoder) uints(fields []*uint64) {
	for _, f := range fields {
		*f = r.uint()
	}
}

func (r *pageDecoder) head(epoch uint64) *Head {
	head := &Head{Epoch: epoch, Member: r.text(), Seq: r.uint(), Revision: r.uint(), NowMs: r.int(), AsOfMs: r.int(), FinalSinceMs: r.int(),
		StateServiceOK: r.flag(), Scope: r.text(), Teams: []Team{}, Members: []Member{}}
	for range r.count() {
		t := Team{Name: r.text()}
		r.uints(t.fields())
		head.Teams = append(head.Teams, t)
	}
	if r.flag() {
		head.Others = &Totals{}
		r.uints(head.Others.fields())
	}
	r.uints(head.Fleet.fields())
	for range r.count() {
		n := Member{Name: r.text(), Alive: r.flag(), Leader: r.flag(), NotReady: r.flag(), Shards: []uint32{}}
		for range r.count() {
			n.Shards = append(n.Shards, r.uint32())
		}
		head.Members = append(head.Members, n)
	}
	return head
}
