package storage

import (
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// The packed layout writes the lists of groups, fleets and evicted sets as numbers in
// a text: the plain one took 25 to 60 bytes a placed task, this one about 5. A group's
// record of the plain layout that is over a lower limit fits under it when it is
// written anew.

var errPacked = errors.New("a packed list is cut short or malformed")

// packer writes numbers and names. A name like host-000231 is the stem host- with six
// digits, noted once, and a number.
type packer struct {
	buf   []byte
	stems map[string]uint64
	ids   map[string]uint64
}

func newPacker() *packer { return &packer{stems: map[string]uint64{}, ids: map[string]uint64{}} }

func (p *packer) num(n uint64) { p.buf = binary.AppendUvarint(p.buf, n) }

// delta writes a number by its difference from another.
func (p *packer) delta(n, from uint64) { p.buf = binary.AppendVarint(p.buf, int64(n-from)) }

func (p *packer) text(s string) {
	p.num(uint64(len(s)))
	p.buf = append(p.buf, s...)
}

// maxDigits is how many trailing digits of a name are taken as a number.
const maxDigits = 18

// name writes a name: where it was written before, if it was; else its stem and number.
func (p *packer) name(s string) {
	if i, ok := p.ids[s]; ok {
		p.num(i + 1)
		return
	}
	p.ids[s] = uint64(len(p.ids))
	p.num(0)
	digits := len(s)
	for digits > 0 && len(s)-digits < maxDigits && s[digits-1] >= '0' && s[digits-1] <= '9' {
		digits--
	}
	stem := s[:digits] + "#" + strconv.Itoa(len(s)-digits)
	i, ok := p.stems[stem]
	if !ok {
		i = uint64(len(p.stems))
		p.stems[stem] = i
	}
	p.num(i)
	if !ok {
		p.text(stem)
	}
	if digits < len(s) {
		n, _ := strconv.ParseUint(s[digits:], 10, 64) // at most 18 digits
		p.num(n)
	}
}

// addr writes an address: one like 10.1.0.232:9000 takes six bytes.
func (p *packer) addr(s string) {
	var ip [4]byte
	var port uint16
	if n, err := fmt.Sscanf(s, "%d.%d.%d.%d:%d", &ip[0], &ip[1], &ip[2], &ip[3], &port); n == 5 && err == nil &&
		s == fmt.Sprintf("%d.%d.%d.%d:%d", ip[0], ip[1], ip[2], ip[3], port) {
		p.num(0)
		p.buf = append(p.buf, ip[:]...)
		p.buf = binary.BigEndian.AppendUint16(p.buf, port)
		return
	}
	p.num(uint64(len(s)) + 1)
	p.buf = append(p.buf, s...)
}

func (p *packer) String() string { return base64.RawStdEncoding.EncodeToString(p.buf) }

// unpacker reads what a packer wrote. After an error it reads zeros.
type unpacker struct {
	buf   []byte
	stems []nameStem
	ids   []string
	err   error
}

type nameStem struct {
	text  string
	width int
}

func newUnpacker(s string) *unpacker {
	buf, err := base64.RawStdEncoding.DecodeString(s)
	return &unpacker{buf: buf, err: err}
}

func (u *unpacker) fail() {
	u.buf = nil
	if u.err == nil {
		u.err = errPacked
	}
}

func (u *unpacker) num() uint64 {
	n, size := binary.Uvarint(u.buf)
	if size <= 0 {
		u.fail()
		return 0
	}
	u.buf = u.buf[size:]
	return n
}

func (u *unpacker) delta(from uint64) uint64 {
	n, size := binary.Varint(u.buf)
	if size <= 0 {
		u.fail()
		return 0
	}
	u.buf = u.buf[size:]
	return from + uint64(n)
}

// count reads how many entries follow; none is shorter than a byte.
func (u *unpacker) count() int {
	n := u.num()
	if n > uint64(len(u.buf)) {
		u.fail()
		return 0
	}
	return int(n)
}

func (u *unpacker) text(n uint64) string {
	if n > uint64(len(u.buf)) {
		u.fail()
		return ""
	}
	s := string(u.buf[:n])
	u.buf = u.buf[n:]
	return s
}

func (u *unpacker) name() string {
	if i := u.num(); i > 0 {
		if i > uint64(len(u.ids)) {
			u.fail()
			return ""
		}
		return u.ids[i-1]
	}
	i := u.num()
	if i == uint64(len(u.stems)) && u.err == nil {
		s := u.text(u.num())
		at := strings.LastIndexByte(s, '#')
		width := -1
		if at >= 0 {
			width, _ = strconv.Atoi(s[at+1:])
		}
		if width < 0 || width > maxDigits {
			u.fail()
			return ""
		}
		u.stems = append(u.stems, nameStem{s[:at], width})
	}
	if i >= uint64(len(u.stems)) {
		u.fail()
		return ""
	}
	st := u.stems[i]
	s := st.text
	if st.width > 0 {
		s += fmt.Sprintf("%0*d", st.width, u.num())
	}
	u.ids = append(u.ids, s)
	return s
}

func (u *unpacker) addr() string {
	n := u.num()
	if n > 0 {
		return u.text(n - 1)
	}
	b := u.text(6)
	if len(b) < 6 {
		return ""
	}
	return fmt.Sprintf("%d.%d.%d.%d:%d", b[0], b[1], b[2], b[3], binary.BigEndian.Uint16([]byte(b[4:])))
}

// What a machine's packed entry begins with.
const (
	packReturning = 1 << iota
	packUnhealthy
	packDraining
	packFencingToken
	packIncarnation // other than 1
	packAddr
	packMoved
	packTasks
)

// pack writes a group's machines and completed tasks.
func (r *GroupRecord) pack() string {
	packer := newPacker()
	packer.num(uint64(len(r.Machines)))
	var attempt, at uint64 // those before
	for i := range r.Machines {
		entry := &r.Machines[i]
		packer.name(entry.Name)
		flags := uint64(0)
		for _, f := range []struct {
			on  bool
			bit uint64
		}{{entry.Returning, packReturning}, {entry.Unhealthy, packUnhealthy}, {entry.Draining, packDraining}, {entry.FencingToken > 0, packFencingToken},
			{entry.Incarnation != 1, packIncarnation}, {entry.Addr != "", packAddr}, {entry.Moved, packMoved}, {len(entry.Tasks) > 0, packTasks}} {
			if f.on {
				flags |= f.bit
			}
		}
		packer.num(flags)
		if entry.FencingToken > 0 {
			packer.num(entry.FencingToken)
		}
		if entry.Incarnation != 1 {
			packer.num(entry.Incarnation)
		}
		if entry.Addr != "" {
			packer.addr(entry.Addr)
		}
		if len(entry.Tasks) == 0 {
			continue
		}
		packer.num(uint64(len(entry.Tasks)))
		for _, placedTasks := range entry.Tasks {
			packer.name(placedTasks.Job)
			// Tasks that were placed together share attempt, time and mostly what
			// they had waited: one group for them.
			groups := groupTasks(placedTasks.Numbers)
			packer.num(uint64(len(groups)))
			for _, g := range groups {
				packer.delta(g[1], attempt)
				packer.delta(g[2], at)
				packer.num(g[3])
				attempt, at = g[1], g[2]
				packer.num(uint64(len(g) - numbersPerTask + 1))
				packer.num(g[0])
				for k, last := numbersPerTask, g[0]; k < len(g); k++ {
					packer.delta(g[k], last)
					last = g[k]
				}
			}
		}
	}
	packer.num(uint64(len(r.Completed)))
	for _, e := range r.Completed {
		packer.name(e.Job)
		packer.num(uint64(len(e.Tasks)))
		last := uint64(0)
		for _, t := range e.Tasks {
			packer.delta(uint64(t), last)
			last = uint64(t)
		}
	}
	return packer.String()
}

// groupTasks puts tasks with the same attempt, time and wait together: task, attempt,
// time, wait, and then the other tasks. Their order does not change.
func groupTasks(n []uint64) [][]uint64 {
	var out [][]uint64
	for ; len(n) >= numbersPerTask; n = n[numbersPerTask:] {
		if k := len(out) - 1; k >= 0 && out[k][1] == n[1] && out[k][2] == n[2] && out[k][3] == n[3] {
			out[k] = append(out[k], n[0])
			continue
		}
		out = append(out, []uint64{n[0], n[1], n[2], n[3]})
	}
	return out
}

func (r *GroupRecord) unpack(s string) error {
	unpacker := newUnpacker(s)
	var attempt, at uint64
	r.Machines = make([]GroupMachine, 0, unpacker.count())
	for range cap(r.Machines) {
		entry := GroupMachine{Name: unpacker.name(), Incarnation: 1}
		flags := unpacker.num()
		entry.Returning, entry.Unhealthy, entry.Draining, entry.Moved = flags&packReturning > 0, flags&packUnhealthy > 0, flags&packDraining > 0, flags&packMoved > 0
		if flags&packFencingToken > 0 {
			entry.FencingToken = unpacker.num()
		}
		if flags&packIncarnation > 0 {
			entry.Incarnation = unpacker.num()
		}
		if flags&packAddr > 0 {
			entry.Addr = unpacker.addr()
		}
		jobs := 0
		if flags&packTasks > 0 {
			jobs = unpacker.count()
		}
		for range jobs {
			placedTasks := PlacedTasks{Job: unpacker.name()}
			for range unpacker.count() {
				attempt, at = unpacker.delta(attempt), unpacker.delta(at)
				waited := unpacker.num()
				task := uint64(0)
				for k := range unpacker.count() {
					if k == 0 {
						task = unpacker.num()
					} else {
						task = unpacker.delta(task)
					}
					placedTasks.Numbers = append(placedTasks.Numbers, task, attempt, at, waited)
				}
			}
			entry.Tasks = append(entry.Tasks, placedTasks)
		}
		r.Machines = append(r.Machines, entry)
	}
	for range unpacker.count() {
		e := CompletedTasks{Job: unpacker.name()}
		last := uint64(0)
		for range unpacker.count() {
			last = unpacker.delta(last)
			e.Tasks = append(e.Tasks, int(last))
		}
		r.Completed = append(r.Completed, e)
	}
	return unpacker.err
}

// pack writes a fleet's machines.
func (r *FleetRecord) pack() string {
	p := newPacker()
	p.num(uint64(len(r.Machines)))
	for _, m := range r.Machines {
		p.name(m.Name)
		p.num(uint64(m.Group))
		p.addr(m.Addr)
	}
	return p.String()
}

func (r *FleetRecord) unpack(s string) error {
	u := newUnpacker(s)
	for range u.count() {
		r.Machines = append(r.Machines, FleetMachine{Name: u.name(), Group: int(u.num()), Addr: u.addr()})
	}
	return u.err
}

// pack writes an evicted set's victims and rooms.
func (r *VictimSetRecord) pack() string {
	packer := newPacker()
	packer.num(uint64(len(r.Victims)))
	attempt := uint64(0)
	for _, v := range r.Victims {
		packer.name(v.Machine)
		packer.name(v.Job)
		packer.num(uint64(v.Task))
		packer.delta(v.Attempt, attempt)
		attempt = v.Attempt
		packer.num(uint64(max(0, v.Score) * 10))
	}
	packer.num(uint64(len(r.Reservations)))
	for _, x := range r.Reservations {
		packer.name(x.Machine)
		packer.num(uint64(x.Slots))
	}
	return packer.String()
}

func (r *VictimSetRecord) unpack(s string) error {
	u := newUnpacker(s)
	attempt := uint64(0)
	for range u.count() {
		v := VictimRecord{Machine: u.name(), Job: u.name(), Task: int(u.num())}
		attempt = u.delta(attempt)
		v.Attempt, v.Score = attempt, float64(u.num())/10
		r.Victims = append(r.Victims, v)
	}
	for range u.count() {
		r.Reservations = append(r.Reservations, ReservationRecord{Machine: u.name(), Slots: int(u.num())})
	}
	return u.err
}

// PackIDs writes a list of job ids.
func PackIDs(ids []string) string {
	if len(ids) == 0 {
		return ""
	}
	p := newPacker()
	p.num(uint64(len(ids)))
	for _, id := range ids {
		p.name(id)
	}
	return p.String()
}

func unpackIDs(s string) ([]string, error) {
	if s == "" {
		return nil, nil
	}
	u := newUnpacker(s)
	var out []string
	for range u.count() {
		out = append(out, u.name())
	}
	return out, u.err
}
