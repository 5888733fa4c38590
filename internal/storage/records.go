package storage

import "dykeledge/internal/protocol"

// The layouts of the records. A later one is written once every controller reads it.
const (
	// LayoutPlain writes every list as JSON.
	LayoutPlain = 1
	// LayoutPacked writes the lists of machine groups, fleets and victim sets as numbers in a text.
	LayoutPacked = 2
	// LayoutTeams is the packed layout with changed teams beside it.
	LayoutTeams = 3
)

// LayoutRecord is the gate between the layouts: which one is written, and which controllers
// have shown that they read the next one. It never goes back.
type LayoutRecord struct {
	Version int      `json:"v"`
	Members []string `json:"n,omitempty"`
}

// MemberRecord is a living controller's membership.
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

// JobRecord is a job in the state service. Spec is dropped once the job is done.
type JobRecord struct {
	Spec        *SpecRecord `json:"s,omitempty"`
	SubmittedMs int64       `json:"at,omitempty"` // submission, in milliseconds of the time of day
	Done        string      `json:"d,omitempty"`  // completed tasks, see Bitmap
	Final       string      `json:"f,omitempty"`  // "", done or cancelled
	Tasks       int         `json:"n"`
	DoneCount   int         `json:"nd,omitempty"`
	Team        string      `json:"tm,omitempty"`
	// Suspect: it failed on several machines before any of its tasks had completed.
	Suspect bool `json:"x,omitempty"`
	// Dependencies are the ids of the jobs that must be done first, packed by PackIDs.
	Dependencies string `json:"aw,omitempty"`
	// ChunkSet and ChunkCount name the chunks of a description that is too long for this record.
	ChunkSet   string `json:"lg,omitempty"`
	ChunkCount int    `json:"lp,omitempty"`
	// FinalAtMs is when it became final, in milliseconds of the time of day: its dependents count from then.
	FinalAtMs int64 `json:"e,omitempty"`
}

// SpecRecord is a submission's description, in short names. Sizes are in GB, times in seconds.
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
	Packed       string           `json:"y,omitempty"` // machines and completed tasks, in the packed layout
}

// GroupMachine is what changes of one machine of a group.
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

// numbersPerTask is how many of PlacedTasks.Numbers describe one task.
const numbersPerTask = 4

// VictimSetRecord is a set of attempts that are evicted to make room for a job, with that room.
type VictimSetRecord struct {
	Shard        int                 `json:"s"`
	Victims      []VictimRecord      `json:"v,omitempty"`
	Reservations []ReservationRecord `json:"r,omitempty"`
	AtMs         int64               `json:"at"`          // when it was chosen, in milliseconds of the time of day
	Packed       string              `json:"y,omitempty"` // victims and reservations, in the packed layout
}

// VictimRecord names one attempt that has to stop.
type VictimRecord struct {
	Machine string  `json:"h"`
	Job     string  `json:"j"`
	Task    int     `json:"t"`
	Attempt uint64  `json:"a"`
	Score   float64 `json:"x"` // of its eviction, to one decimal place
}

// ReservationRecord is room for a number of the job's tasks on a machine.
type ReservationRecord struct {
	Machine string `json:"h"`
	Slots   int    `json:"n"`
}

// tasksPerCompletionSet is how many tasks one part of a large job's set of completed tasks covers.
const tasksPerCompletionSet = 8192

// CompletionRecord is a part of the set of a job's completed tasks.
type CompletionRecord struct {
	Done string `json:"d"` // see Bitmap
}

// chunkRecord is a chunk of a description that is too long for its job's record.
type chunkRecord struct {
	Text        string `json:"x"`
	WrittenAtMs int64  `json:"at"` // when it was written, in milliseconds of the time of day
}

// BaselineRecord is what the leader has learned of the usual demand, largest first.
type BaselineRecord struct {
	Queues []BaselineQueue `json:"l"`
}

// BaselineQueue is what a class of a team usually asks for: the work that arrives in a second,
// in CPU seconds, by its owners' estimates. So it is also how many CPUs that work keeps busy
// on average.
type BaselineQueue struct {
	Team  string  `json:"t"`
	Class string  `json:"c"`
	Cpus  float64 `json:"u"`
}

// TeamRecord is a team's guarantee and limit, changed since the settings file.
type TeamRecord struct {
	TeamBounds
	// Former is the limit that still counts while the team uses more than the new one: nothing
	// more of it starts meanwhile.
	Former *TeamBounds `json:"was,omitempty"`
}

// TeamBounds are a team's guarantee and limit, in CPUs and accelerators; a limit of 0 is none.
type TeamBounds struct {
	Cpus    float64 `json:"cpus"`
	CpusMax float64 `json:"cpus_max"`
	Gpus    float64 `json:"gpus"`
	GpusMax float64 `json:"gpus_max"`
}

// SpecOf turns a submission into its record.
func SpecOf(submission *protocol.Submission) *SpecRecord {
	return &SpecRecord{
		Class: submission.Class, Shape: uint8(submission.Shape), Priority: uint8(submission.Priority),
		Cpus: submission.Cpus, Gpus: submission.Gpus, Mem: submission.MemGB, Image: submission.Image, ImageGB: submission.ImageGB, Types: submission.Types,
		Zone: submission.Zone, OneZone: submission.OneZone, Spread: submission.Spread, Spot: submission.Spot, Estimate: submission.EstimateS,
		CheckpointInterval: submission.CheckpointS, CheckpointCost: submission.CheckpointCostS, Deadline: submission.DeadlineS,
	}
}
