package view

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"dykeledge/internal/protocol"
)

// A feed hands a snapshot's changes over in pages, oldest change first. A reader names the
// last change that it has, so a controller keeps nothing for it; what it has is whole once a page
// says that no more follow, and that page carries the head. Between two pages the controller may
// have taken a newer snapshot: a row that changed meanwhile moves towards the end and comes
// there, so the last page still completes one revision.

// The format: a magic byte that neither HTTP nor the peers' frames begin with, the version,
// flags, and whole numbers of variable length.
const (
	feedMagic   = 0xD9
	feedVersion = 1
	flagReset   = 1 // forget everything first
	flagMore    = 2
	flagGone    = 0x80
	// MaxPage is about how many bytes a page has at most: with it the memory that slow
	// readers cost a controller is bounded.
	MaxPage    = 64 << 10
	maxText    = 256
	maxVictims = 100_000
)

// Cursor is how far a reader is.
type Cursor struct{ Epoch, Seq uint64 }

// ErrFeed says that what came is no valid page; the reader has to begin anew.
var ErrFeed = errors.New("malformed page of the view")

// AppendPage writes the changes after a cursor as far as a page holds them. now is the controller's
// clock, in milliseconds of the day's: against it readers tell how old the snapshot is.
func (s *Snapshot) AppendPage(b []byte, scope Scope, cur Cursor, now int64) []byte {
	flags := byte(0)
	if cur.Epoch != s.Epoch || cur.Seq > s.Seq || cur.Seq > 0 && cur.Seq < s.floor {
		cur.Seq = 0
	}
	if cur.Seq == 0 {
		flags = flagReset
	}
	start := len(b)
	b = append(b, feedMagic, feedVersion, 0)
	b = binary.AppendUvarint(b, s.Epoch)
	w := writer{b: b}
	next := cur.Seq
	s.log.Ascend(cur.Seq+1, func(seq uint64, e entry) bool {
		if len(w.b)-start > MaxPage {
			flags |= flagMore
			return false
		}
		next = seq
		if cur.Seq > 0 || !e.gone {
			w.row(s, scope, e)
		}
		return true
	})
	w.b = append(w.b, 0) // no kind: the end of the rows
	if flags&flagMore == 0 {
		next = s.Seq
		h := scope.Head(s.Head)
		h.Now = now
		w.head(h)
	}
	w.uint(next)
	w.b[start+2] = flags
	return w.b
}

type writer struct{ b []byte }

func (w *writer) uint(v uint64) { w.b = binary.AppendUvarint(w.b, v) }
func (w *writer) int(v int64)   { w.b = binary.AppendVarint(w.b, v) }
func (w *writer) text(s string) {
	s = s[:min(len(s), maxText)]
	w.uint(uint64(len(s)))
	w.b = append(w.b, s...)
}
func (w *writer) flag(v bool) {
	x := byte(0)
	if v {
		x = 1
	}
	w.b = append(w.b, x)
}

func (w *writer) row(s *Snapshot, scope Scope, e entry) {
	if e.gone {
		if e.job != nil && scope.job(e.job) == nil || e.ev != nil && scope.Eviction(e.ev) == nil ||
			e.kind == kindMachine && scope != Operators {
			return
		}
		w.b = append(w.b, byte(e.kind)|flagGone)
		w.text(e.key)
		return
	}
	switch e.kind {
	case kindJob:
		if j, _ := s.jobs.Get(e.key); scope.job(j) != nil {
			w.job(j)
		}
	case kindMachine:
		if m, _ := s.machines.Get(e.key); scope.machine(m) != nil {
			w.machine(m)
		}
	case kindEviction:
		v, _ := s.evictions.Get(e.key)
		if v = scope.Eviction(v); v != nil {
			w.eviction(v)
		}
	}
}

func (w *writer) job(j *Job) {
	w.b = append(w.b, byte(kindJob))
	w.text(j.ID)
	w.text(j.Team)
	w.text(j.Class)
	w.b = append(w.b, byte(j.Priority), byte(j.Status))
	w.flag(j.Service)
	w.flag(j.Suspect)
	w.flag(j.Evicting)
	for _, v := range []uint64{uint64(j.Tasks), uint64(j.Done), uint64(j.Placed), uint64(j.Awaits), uint64(j.Shard), j.Cpus, j.Gpus, j.Estimate} {
		w.uint(v)
	}
	for _, v := range []int64{j.Submit, j.From, j.Due, j.End} {
		w.int(v)
	}
}

func (w *writer) machine(m *Machine) {
	w.b = append(w.b, byte(kindMachine))
	w.text(m.Name)
	w.text(m.Type)
	w.text(m.Zone)
	w.flag(m.Spot)
	w.b = append(w.b, byte(m.State))
	for _, v := range []uint64{uint64(m.Shard), uint64(m.Tasks), m.Cpus, m.Gpus, m.UsedCpus, m.UsedGpus, m.Price, uint64(len(m.Uses))} {
		w.uint(v)
	}
	for _, u := range m.Uses {
		w.text(u.Team)
		w.uint(uint64(u.Tasks))
		w.uint(u.Cpus)
		w.uint(u.Gpus)
	}
}

func (w *writer) eviction(e *Eviction) {
	w.b = append(w.b, byte(kindEviction))
	w.text(e.Key)
	w.text(e.Job)
	w.text(e.Team)
	w.int(e.At)
	w.uint(uint64(e.Shard))
	w.flag(e.Open)
	n := min(len(e.Victims), maxVictims)
	w.uint(uint64(n))
	for _, v := range e.Victims[:n] {
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

func (w *writer) head(h Head) {
	w.text(h.Member)
	w.uint(h.Seq)
	w.uint(h.Revision)
	w.int(h.Now)
	w.int(h.AsOf)
	w.int(h.Since)
	w.flag(h.StateOK)
	w.text(h.Scope)
	w.uint(uint64(len(h.Teams)))
	for i := range h.Teams {
		w.text(h.Teams[i].Name)
		w.all(h.Teams[i].fields())
	}
	w.flag(h.Others != nil)
	if h.Others != nil {
		w.all(h.Others.fields())
	}
	w.all(h.Fleet.fields())
	w.uint(uint64(len(h.Members)))
	for _, n := range h.Members {
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

// Page is a page as its reader has it.
type Page struct {
	Reset bool
	Next  Cursor
	Head  *Head // nil: more pages follow before what the reader has is whole
	rows  []func(*Model)
}

// Apply puts a page's rows into a reader's model.
func (p *Page) Apply(m *Model) {
	for _, f := range p.rows {
		f(m)
	}
}

// ReadPage reads a page. Its errors wrap ErrFeed.
func ReadPage(b []byte) (*Page, error) {
	if len(b) < 3 || b[0] != feedMagic {
		return nil, fmt.Errorf("%w: no page of a view", ErrFeed)
	}
	if b[1] != feedVersion {
		return nil, fmt.Errorf("%w: version %d, want %d", ErrFeed, b[1], feedVersion)
	}
	flags := b[2]
	r := &reader{b: b[3:]}
	p := &Page{Reset: flags&flagReset != 0, Next: Cursor{Epoch: r.uint()}}
	for !r.bad {
		k := r.byte()
		if k == 0 {
			break
		}
		r.row(p, k)
	}
	if flags&flagMore == 0 {
		p.Head = r.head(p.Next.Epoch)
	}
	p.Next.Seq = r.uint()
	if r.bad || len(r.b) > 0 || flags&^(flagReset|flagMore) != 0 {
		return nil, fmt.Errorf("%w: %d bytes with flags %#x", ErrFeed, len(b), flags)
	}
	return p, nil
}

type reader struct {
	b   []byte
	bad bool
}

func (r *reader) byte() byte {
	if len(r.b) == 0 {
		r.bad = true
		return 0
	}
	x := r.b[0]
	r.b = r.b[1:]
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
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.bad = true
		return 0
	}
	r.b = r.b[n:]
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
	v, n := binary.Varint(r.b)
	if n <= 0 {
		r.bad = true
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) text() string {
	n := r.uint()
	if n > maxText || n > uint64(len(r.b)) {
		r.bad = true
		return ""
	}
	s := string(r.b[:n])
	r.b = r.b[n:]
	return s
}

// count reads how many things follow that take at least a byte each.
func (r *reader) count() int {
	n := r.uint()
	if n > uint64(len(r.b)) {
		r.bad = true
		return 0
	}
	return int(n)
}

func (r *reader) row(p *Page, k byte) {
	if k&flagGone != 0 {
		key := r.text()
		switch kind(k &^ flagGone) {
		case kindJob:
			p.rows = append(p.rows, func(m *Model) { m.DropJob(key) })
		case kindMachine:
			p.rows = append(p.rows, func(m *Model) { m.DropMachine(key) })
		case kindEviction:
			p.rows = append(p.rows, func(m *Model) { m.DropEviction(key) })
		default:
			r.bad = true
		}
		return
	}
	switch kind(k) {
	case kindJob:
		j := r.job()
		p.rows = append(p.rows, func(m *Model) { m.PutJob(j) })
	case kindMachine:
		x := r.machine()
		p.rows = append(p.rows, func(m *Model) { m.PutMachine(x) })
	case kindEviction:
		e := r.eviction()
		p.rows = append(p.rows, func(m *Model) { m.PutEviction(e) })
	default:
		r.bad = true
	}
}

func (r *reader) job() Job {
	j := Job{ID: r.text(), Team: r.text(), Class: r.text()}
	j.Priority, j.Status = protocol.Priority(r.below(byte(protocol.Production)+1)), Status(r.below(byte(Cancelled)+1))
	j.Service, j.Suspect, j.Evicting = r.flag(), r.flag(), r.flag()
	for _, v := range []*uint32{&j.Tasks, &j.Done, &j.Placed, &j.Awaits, &j.Shard} {
		*v = r.u32()
	}
	for _, v := range []*uint64{&j.Cpus, &j.Gpus, &j.Estimate} {
		*v = r.uint()
	}
	for _, v := range []*int64{&j.Submit, &j.From, &j.Due, &j.End} {
		*v = r.int()
	}
	return j
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
	h := &Head{Epoch: epoch, Member: r.text(), Seq: r.uint(), Revision: r.uint(), Now: r.int(), AsOf: r.int(), Since: r.int(),
		StateOK: r.flag(), Scope: r.text(), Teams: []Team{}, Members: []Member{}}
	for range r.count() {
		t := Team{Name: r.text()}
		r.all(t.fields())
		h.Teams = append(h.Teams, t)
	}
	if r.flag() {
		h.Others = &Totals{}
		r.all(h.Others.fields())
	}
	r.all(h.Fleet.fields())
	for range r.count() {
		n := Member{Name: r.text(), Alive: r.flag(), Leader: r.flag(), Unfit: r.flag(), Shares: []uint32{}}
		for range r.count() {
			n.Shares = append(n.Shares, r.u32())
		}
		h.Members = append(h.Members, n)
	}
	return h
}
