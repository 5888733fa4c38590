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
func (s *Snapshot) AppendPage(data []byte, scope Scope, cur Cursor, now int64) []byte {
	flags := byte(0)
	if cur.Epoch != s.Epoch || cur.Seq > s.Seq || cur.Seq > 0 && cur.Seq < s.floor {
		cur.Seq = 0
	}
	if cur.Seq == 0 {
		flags = flagReset
	}
	start := len(data)
	data = append(data, feedMagic, feedVersion, 0)
	data = binary.AppendUvarint(data, s.Epoch)
	viewWriter := writer{b: data}
	next := cur.Seq
	s.log.Ascend(cur.Seq+1, func(seq uint64, e entry) bool {
		if len(viewWriter.b)-start > MaxPage {
			flags |= flagMore
			return false
		}
		next = seq
		if cur.Seq > 0 || !e.gone {
			viewWriter.row(s, scope, e)
		}
		return true
	})
	viewWriter.b = append(viewWriter.b, 0) // no kind: the end of the rows
	if flags&flagMore == 0 {
		next = s.Seq
		h := scope.Head(s.Head)
		h.Now = now
		viewWriter.head(h)
	}
	viewWriter.uint(next)
	viewWriter.b[start+2] = flags
	return viewWriter.b
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

func (w *writer) row(snapshot *Snapshot, scope Scope, viewEntry entry) {
	if viewEntry.gone {
		if viewEntry.job != nil && scope.job(viewEntry.job) == nil || viewEntry.ev != nil && scope.Eviction(viewEntry.ev) == nil ||
			viewEntry.kind == kindMachine && scope != Operators {
			return
		}
		w.b = append(w.b, byte(viewEntry.kind)|flagGone)
		w.text(viewEntry.key)
		return
	}
	switch viewEntry.kind {
	case kindJob:
		if j, _ := snapshot.jobs.Get(viewEntry.key); scope.job(j) != nil {
			w.job(j)
		}
	case kindMachine:
		if m, _ := snapshot.machines.Get(viewEntry.key); scope.machine(m) != nil {
			w.machine(m)
		}
	case kindEviction:
		v, _ := snapshot.evictions.Get(viewEntry.key)
		if v = scope.Eviction(v); v != nil {
			w.eviction(v)
		}
	}
}

func (w *writer) job(viewJob *Job) {
	w.b = append(w.b, byte(kindJob))
	w.text(viewJob.ID)
	w.text(viewJob.Team)
	w.text(viewJob.Class)
	w.b = append(w.b, byte(viewJob.Priority), byte(viewJob.Status))
	w.flag(viewJob.Service)
	w.flag(viewJob.Suspect)
	w.flag(viewJob.Evicting)
	for _, v := range []uint64{uint64(viewJob.Tasks), uint64(viewJob.Done), uint64(viewJob.Placed), uint64(viewJob.Awaits), uint64(viewJob.Shard), viewJob.Cpus, viewJob.Gpus, viewJob.Estimate} {
		w.uint(v)
	}
	for _, v := range []int64{viewJob.Submit, viewJob.From, viewJob.Due, viewJob.End} {
		w.int(v)
	}
}

func (w *writer) machine(viewMachine *Machine) {
	w.b = append(w.b, byte(kindMachine))
	w.text(viewMachine.Name)
	w.text(viewMachine.Type)
	w.text(viewMachine.Zone)
	w.flag(viewMachine.Spot)
	w.b = append(w.b, byte(viewMachine.State))
	for _, v := range []uint64{uint64(viewMachine.Shard), uint64(viewMachine.Tasks), viewMachine.Cpus, viewMachine.Gpus, viewMachine.UsedCpus, viewMachine.UsedGpus, viewMachine.Price, uint64(len(viewMachine.Uses))} {
		w.uint(v)
	}
	for _, u := range viewMachine.Uses {
		w.text(u.Team)
		w.uint(uint64(u.Tasks))
		w.uint(u.Cpus)
		w.uint(u.Gpus)
	}
}

func (w *writer) eviction(viewEviction *Eviction) {
	w.b = append(w.b, byte(kindEviction))
	w.text(viewEviction.Key)
	w.text(viewEviction.Job)
	w.text(viewEviction.Team)
	w.int(viewEviction.At)
	w.uint(uint64(viewEviction.Shard))
	w.flag(viewEviction.Open)
	n := min(len(viewEviction.Victims), maxVictims)
	w.uint(uint64(n))
	for _, v := range viewEviction.Victims[:n] {
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

func (w *writer) head(viewHead Head) {
	w.text(viewHead.Member)
	w.uint(viewHead.Seq)
	w.uint(viewHead.Revision)
	w.int(viewHead.Now)
	w.int(viewHead.AsOf)
	w.int(viewHead.Since)
	w.flag(viewHead.StateOK)
	w.text(viewHead.Scope)
	w.uint(uint64(len(viewHead.Teams)))
	for i := range viewHead.Teams {
		w.text(viewHead.Teams[i].Name)
		w.all(viewHead.Teams[i].fields())
	}
	w.flag(viewHead.Others != nil)
	if viewHead.Others != nil {
		w.all(viewHead.Others.fields())
	}
	w.all(viewHead.Fleet.fields())
	w.uint(uint64(len(viewHead.Members)))
	for _, n := range viewHead.Members {
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
func ReadPage(data []byte) (*Page, error) {
	if len(data) < 3 || data[0] != feedMagic {
		return nil, fmt.Errorf("%w: no page of a view", ErrFeed)
	}
	if data[1] != feedVersion {
		return nil, fmt.Errorf("%w: version %d, want %d", ErrFeed, data[1], feedVersion)
	}
	flags := data[2]
	viewReader := &reader{b: data[3:]}
	page := &Page{Reset: flags&flagReset != 0, Next: Cursor{Epoch: viewReader.uint()}}
	for !viewReader.bad {
		k := viewReader.byte()
		if k == 0 {
			break
		}
		viewReader.row(page, k)
	}
	if flags&flagMore == 0 {
		page.Head = viewReader.head(page.Next.Epoch)
	}
	page.Next.Seq = viewReader.uint()
	if viewReader.bad || len(viewReader.b) > 0 || flags&^(flagReset|flagMore) != 0 {
		return nil, fmt.Errorf("%w: %d bytes with flags %#x", ErrFeed, len(data), flags)
	}
	return page, nil
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
	viewJob := Job{ID: r.text(), Team: r.text(), Class: r.text()}
	viewJob.Priority, viewJob.Status = protocol.Priority(r.below(byte(protocol.Production)+1)), Status(r.below(byte(Cancelled)+1))
	viewJob.Service, viewJob.Suspect, viewJob.Evicting = r.flag(), r.flag(), r.flag()
	for _, v := range []*uint32{&viewJob.Tasks, &viewJob.Done, &viewJob.Placed, &viewJob.Awaits, &viewJob.Shard} {
		*v = r.u32()
	}
	for _, v := range []*uint64{&viewJob.Cpus, &viewJob.Gpus, &viewJob.Estimate} {
		*v = r.uint()
	}
	for _, v := range []*int64{&viewJob.Submit, &viewJob.From, &viewJob.Due, &viewJob.End} {
		*v = r.int()
	}
	return viewJob
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
	viewHead := &Head{Epoch: epoch, Member: r.text(), Seq: r.uint(), Revision: r.uint(), Now: r.int(), AsOf: r.int(), Since: r.int(),
		StateOK: r.flag(), Scope: r.text(), Teams: []Team{}, Members: []Member{}}
	for range r.count() {
		t := Team{Name: r.text()}
		r.all(t.fields())
		viewHead.Teams = append(viewHead.Teams, t)
	}
	if r.flag() {
		viewHead.Others = &Totals{}
		r.all(viewHead.Others.fields())
	}
	r.all(viewHead.Fleet.fields())
	for range r.count() {
		n := Member{Name: r.text(), Alive: r.flag(), Leader: r.flag(), Unfit: r.flag(), Shares: []uint32{}}
		for range r.count() {
			n.Shares = append(n.Shares, r.u32())
		}
		viewHead.Members = append(viewHead.Members, n)
	}
	return viewHead
}
