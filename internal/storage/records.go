package storage

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/bits"
	"strconv"
	"strings"

	"dykeledge/internal/protocol"
)

// Root is the prefix of every key, so that one follow sees them all.
const Root = "dykeledge/"

// The keys' prefixes and names.
const (
	memberPrefix     = Root + "node/"
	shardPrefix      = Root + "share/"
	jobPrefix        = Root + "job/"
	fleetPrefix      = Root + "fleet/"
	groupPrefix      = Root + "rack/"
	victimSetPrefix  = Root + "evict/"
	completionPrefix = Root + "set/"
	chunkPrefix      = Root + "bit/"     // sorts before the jobs, whose records name them
	retiredPrefix    = Root + "machine/" // of a layout that is not read any more
	LeaderKey        = Root + "leader"
	CatalogKey       = Root + "catalog"
	SettingsKey      = Root + "settings"
	LayoutKey        = Root + "layout"
	// BarrierKey is written when the gate opens. The version before takes it for a record of
	// the layout that it refuses, and so does not become ready if it is started again: it
	// would read packed groups as empty ones and start what runs there twice.
	BarrierKey = retiredPrefix + "packed"
)

// The layouts of the records. The packed one is written once every controller reads it.
const (
	LayoutPlain  = 1
	LayoutPacked = 2
)

// LayoutRecord is the gate between the layouts: which one is written, and which controllers
// have shown that they read the packed one. It never goes back.
type LayoutRecord struct {
	Version int      `json:"v"`
	Members []string `json:"n,omitempty"`
}

// MemberKey is where a controller says that it is alive.
func MemberKey(name string) string { return memberPrefix + name }

// ShardKey holds who owns a shard.
func ShardKey(share int) string { return shardPrefix + strconv.Itoa(share) }

// JobKey holds a job.
func JobKey(id string) string { return jobPrefix + id }

// JobIDOf takes a job's key apart.
func JobIDOf(key string) (string, bool) { return keySuffix(key, jobPrefix) }

// FleetKey holds what does not change of machines that came together.
func FleetKey(id string) string { return fleetPrefix + id }

// GroupKey holds a group: the part of its machines' records that changes.
func GroupKey(rack int) string { return groupPrefix + strconv.Itoa(rack) }

// VictimSetKey holds the evicted set that makes room for a job.
func VictimSetKey(job string) string { return victimSetPrefix + job }

// MemberRecord is a controller's membership.
type MemberRecord struct {
	Incarnation uint64 `json:"i"`
	Public      string `json:"p"`
	NotReady    bool   `json:"u,omitempty"` // reaches no worker: it must own no shard
	Layout      int    `json:"v,omitempty"` // the latest layout that it reads
	FrameLevel  int    `json:"f,omitempty"` // the level of the peers' frames that it reads
}

// LeaderRecord says who leads.
type LeaderRecord struct {
	Member      string `json:"n"`
	Incarnation uint64 `json:"i"`
}

// ShardRecord says who owns a shard, and under which token.
type ShardRecord struct {
	Member       string `json:"n"`
	Incarnation  uint64 `json:"i"`
	FencingToken uint64 `json:"t"`
}

// JobRecord is a job in the state service. Spec is dropped once it is done.
type JobRecord struct {
	Spec        *SpecRecord `json:"s,omitempty"`
	SubmittedMs int64       `json:"at,omitempty"` // submission, time of day
	Done        string      `json:"d,omitempty"`  // bitmap of completed tasks
	Final       string      `json:"f,omitempty"`  // "", done or cancelled
	Tasks       int         `json:"n"`
	DoneCount   int         `json:"nd,omitempty"`
	Team        string      `json:"tm,omitempty"`
	// Suspect: it failed on several machines before any of its tasks had completed.
	Suspect bool `json:"x,omitempty"`
	// Dependencies are the jobs that it awaits, packed.
	Dependencies string `json:"aw,omitempty"`
	// ChunkSet and Parts name the parts of a description that is too long for this record.
	ChunkSet   string `json:"lg,omitempty"`
	ChunkCount int    `json:"lp,omitempty"`
	// FinalAtMs is when it became final, time of day: jobs that wait for it count from then.
	FinalAtMs int64 `json:"e,omitempty"`
}

// SpecRecord is a submission's description, in short names.
type SpecRecord struct {
	Class              string   `json:"c"`
	Shape              uint8    `json:"k,omitempty"`
	Priority           uint8    `json:"p"`
	Cpus               float64  `json:"cpu"`
	Gpus               float64  `json:"gpu,omitempty"`
	Mem                float64  `json:"mem"`
	Image              string   `json:"img"`
	ImageGB            float64  `json:"gb"`
	Types              []string `json:"ty,omitempty"`
	Zone               string   `json:"z,omitempty"`
	OneZone            bool     `json:"oz,omitempty"`
	Spread             bool     `json:"sp,omitempty"`
	Spot               bool     `json:"l,omitempty"`
	Estimate           float64  `json:"e"`
	CheckpointInterval float64  `json:"m,omitempty"`
	CheckpointCost     float64  `json:"mc,omitempty"`
	Deadline           float64  `json:"due,omitempty"`
}

// FleetRecord is what does not change of machines that came together. Only the
// leader adds one; a machine that leaves is taken out by its owner.
type FleetRecord struct {
	FencingToken  uint64         `json:"t"` // of each machine, until its group's record has a higher one
	Type          string         `json:"h"`
	Zone          string         `json:"b"`
	Spot          bool           `json:"l,omitempty"`
	ProvisionedAt int64          `json:"at,omitempty"` // time of day in seconds
	Machines      []FleetMachine `json:"m,omitempty"`
	Packed        string         `json:"y,omitempty"` // the machines, in the packed layout
}

// FleetMachine is one machine of a fleet record, with the group that it is in for good.
type FleetMachine struct {
	Name  string `json:"h"`
	Group int    `json:"r"`
	Addr  string `json:"a,omitempty"`
}

// GroupRecord holds what changes of a group of machines that serve one shard:
// writing them together is what lets hundreds of machines fit the state
// service's rate of changes.
type GroupRecord struct {
	Shard        int              `json:"s"`
	FencingToken uint64           `json:"t,omitempty"` // raised whenever the group changes its shard
	Machines     []GroupMachine   `json:"m,omitempty"` // those with something to say
	Completed    []CompletedTasks `json:"e,omitempty"`
	Packed       string           `json:"y,omitempty"` // machines and ended, in the packed layout
}

// GroupMachine is one machine of a group.
type GroupMachine struct {
	Name         string `json:"h"`
	FencingToken uint64 `json:"t,omitempty"`
	Incarnation  uint64 `json:"w,omitempty"`
	Addr         string `json:"a,omitempty"` // if the machine's own record does not tell it
	Returning    bool   `json:"c,omitempty"` // is being returned: nothing may be placed
	Unhealthy    bool   `json:"k,omitempty"` // fails its tasks: nothing more is placed, and it is returned
	// Draining: nothing more is placed, what saves is moved off, and the machine is
	// returned once it is empty.
	Draining bool `json:"d,omitempty"`
	// Moved: it was in another group before, whatever its fleet's record says.
	Moved bool          `json:"mv,omitempty"`
	Tasks []PlacedTasks `json:"x,omitempty"`
}

// CompletedTasks are completed tasks of one job that the job's own record may not
// show yet. They stay until it does, or is final.
type CompletedTasks struct {
	Job   string `json:"j"`
	Tasks []int  `json:"n"`
}

// PlacedTasks are the tasks of one job on a machine, four numbers each: task,
// attempt, when it was placed (seconds of the day's clock) and the seconds that
// it had waited. The last two let a successor rank evictions as its predecessor did.
type PlacedTasks struct {
	Job     string   `json:"j"`
	Numbers []uint64 `json:"p"`
}

const numbersPerTask = 4

// VictimSetRecord is an evicted set, with the room that it frees.
type VictimSetRecord struct {
	Shard        int                 `json:"s"`
	Victims      []VictimRecord      `json:"v,omitempty"`
	Reservations []ReservationRecord `json:"r,omitempty"`
	AtMs         int64               `json:"at"`
	Packed       string              `json:"y,omitempty"` // victims and rooms, in the packed layout
}

// VictimRecord names one attempt that has to stop.
type VictimRecord struct {
	Machine string  `json:"h"`
	Job     string  `json:"j"`
	Task    int     `json:"t"`
	Attempt uint64  `json:"a"`
	Score   float64 `json:"x"`
}

// ReservationRecord is room for a number of the job's tasks on a machine.
type ReservationRecord struct {
	Machine string `json:"h"`
	Slots   int    `json:"n"`
}

// Encode writes a record as JSON.
func Encode(v any) json.RawMessage {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("record cannot be written: %v", err)) // only finite numbers and strings reach it
	}
	return raw
}

// EncodeGroup writes a group's record.
func EncodeGroup(r *GroupRecord, packed bool) json.RawMessage {
	if packed {
		r = &GroupRecord{Shard: r.Shard, FencingToken: r.FencingToken, Packed: r.pack()}
	}
	return Encode(r)
}

// DecodeGroup reads a group's record of either layout.
func DecodeGroup(raw json.RawMessage) (r GroupRecord, err error) {
	if err = json.Unmarshal(raw, &r); err == nil && r.Packed != "" {
		err = r.unpack(r.Packed)
	}
	return r, err
}

// EncodeFleet writes a fleet's record.
func EncodeFleet(r *FleetRecord, packed bool) json.RawMessage {
	if packed {
		x := *r
		x.Packed, x.Machines = r.pack(), nil
		r = &x
	}
	return Encode(r)
}

// DecodeFleet reads a fleet's record of either layout.
func DecodeFleet(raw json.RawMessage) (r FleetRecord, err error) {
	if err = json.Unmarshal(raw, &r); err == nil && r.Packed != "" {
		err = r.unpack(r.Packed)
		r.Packed = ""
	}
	return r, err
}

// EncodeVictimSet writes an evicted set.
func EncodeVictimSet(r *VictimSetRecord, packed bool) json.RawMessage {
	if packed {
		r = &VictimSetRecord{Shard: r.Shard, AtMs: r.AtMs, Packed: r.pack()}
	}
	return Encode(r)
}

// DecodeVictimSet reads an evicted set of either layout.
func DecodeVictimSet(raw json.RawMessage) (r VictimSetRecord, err error) {
	if err = json.Unmarshal(raw, &r); err == nil && r.Packed != "" {
		err = r.unpack(r.Packed)
		r.Packed = ""
	}
	return r, err
}

// completionSetTasks is how many tasks one part of a large array's set of completed tasks covers.
const completionSetTasks = 8192

// CompletionKey holds a part of the set of a job's completed tasks: the part with this task.
func CompletionKey(job string, task int) string {
	return completionPrefix + job + "/" + strconv.Itoa(task/completionSetTasks)
}

// CompletionRecord is a part of the set of a job's completed tasks.
type CompletionRecord struct {
	Done string `json:"d"`
}

// Bitmap is the set of a job's completed tasks.
type Bitmap []byte

// NewBitmap has room for n tasks.
func NewBitmap(n int) Bitmap { return make(Bitmap, (n+7)/8) }

// Get tells whether a task is in the set.
func (b Bitmap) Get(i int) bool { return b[i>>3]&(1<<(i&7)) != 0 }

// Set adds a task.
func (b Bitmap) Set(i int) { b[i>>3] |= 1 << (i & 7) }

// Merge adds another set of the same job.
func (b Bitmap) Merge(o Bitmap) {
	for i := range min(len(b), len(o)) {
		b[i] |= o[i]
	}
}

// Count is how many tasks are in the set.
func (b Bitmap) Count() int {
	n := 0
	for _, x := range b {
		n += bits.OnesCount8(x)
	}
	return n
}

// Clone copies the set.
func (b Bitmap) Clone() Bitmap { return append(Bitmap(nil), b...) }

func (b Bitmap) encode() string {
	for _, x := range b {
		if x != 0 {
			return base64.RawStdEncoding.EncodeToString(b)
		}
	}
	return ""
}

func decodeBitmap(s string, n int) (Bitmap, error) {
	b := NewBitmap(n)
	if s == "" {
		return b, nil
	}
	raw, err := base64.RawStdEncoding.DecodeString(s)
	if err != nil || len(raw) != len(b) {
		return nil, fmt.Errorf("bitmap of %d tasks: %w", n, err)
	}
	return Bitmap(raw), nil
}

// SpecOf turns a submission into its record.
func SpecOf(s *protocol.Submission) *SpecRecord {
	return &SpecRecord{
		Class: s.Class, Shape: uint8(s.Shape), Priority: uint8(s.Priority),
		Cpus: s.Cpus, Gpus: s.Gpus, Mem: s.MemGB, Image: s.Image, ImageGB: s.ImageGB, Types: s.Types,
		Zone: s.Zone, OneZone: s.OneZone, Spread: s.Spread, Spot: s.Spot, Estimate: s.EstimateS,
		CheckpointInterval: s.CheckpointS, CheckpointCost: s.CheckpointCostS, Deadline: s.DeadlineS,
	}
}

func keySuffix(key, prefix string) (string, bool) {
	rest, ok := strings.CutPrefix(key, prefix)
	return rest, ok && rest != ""
}

// GroupOf takes a group's key apart.
func GroupOf(key string) (int, bool) {
	num, ok := keySuffix(key, groupPrefix)
	if !ok {
		return 0, false
	}
	i, err := strconv.Atoi(num)
	return i, err == nil && i >= 0
}
