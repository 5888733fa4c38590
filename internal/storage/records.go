package storage

import "dykeledge/internal/protocol"

// Layout versions of the records. A layout is written once every controller can read it.
const (
	// LayoutPlain writes every list as JSON.
	LayoutPlain = 1
	// LayoutPacked writes the lists of machine groups, fleets and victim sets as packed numbers in
	// base64 text.
	LayoutPacked = 2
	// LayoutTeams is the packed layout with additional records for changed guarantees and limits of
	// teams.
	LayoutTeams = 3
)

// LayoutRecord holds the enabled layout and the members that have announced that they can read the
// next one. The enabled layout never goes back.
type LayoutRecord struct {
	Version int      `json:"v"`
	Members []string `json:"n,omitempty"`
}

// MemberRecord is the membership record of a running controller.
type MemberRecord struct {
	Incarnation uint64 `json:"i"`
	PublicAddr  string `json:"p"`
	NotReady    bool   `json:"u,omitempty"` // the controller reaches no worker and must own no shard
	Layout      int    `json:"v,omitempty"` // the latest layout that the controller reads
	FrameLevel  int    `json:"f,omitempty"` // highest level of peer frames that the controller reads, see protocol.FrameLevelCancellationDigest
}

// LeaderRecord identifies the leader.
type LeaderRecord struct {
	Member      string `json:"n"`
	Incarnation uint64 `json:"i"`
}

// ShardRecord holds a shard's owner and fencing token.
type ShardRecord struct {
	Member       string `json:"n"`
	Incarnation  uint64 `json:"i"`
	FencingToken uint64 `json:"t"`
}

// JobRecord is a job's record in the state service. Spec is dropped once the job is done.
type JobRecord struct {
	Spec        *SpecRecord `json:"s,omitempty"`
	SubmittedMs int64       `json:"at,omitempty"` // time of submission, in Unix milliseconds
	Done        string      `json:"d,omitempty"`  // the completed tasks, an encoded Bitmap
	Final       string      `json:"f,omitempty"`  // "", done or cancelled
	Tasks       int         `json:"n"`
	DoneCount   int         `json:"nd,omitempty"`
	Team        string      `json:"tm,omitempty"`
	// Suspect is set if the job failed on several machines before any of its tasks completed.
	Suspect bool `json:"x,omitempty"`
	// Dependencies are the ids of the jobs that must be done first, packed by PackIDs.
	Dependencies string `json:"aw,omitempty"`
	// ChunkSet (the attempt that wrote them) and ChunkCount identify the chunks of a description that
	// is too long for this record.
	ChunkSet   string `json:"lg,omitempty"`
	ChunkCount int    `json:"lp,omitempty"`
	// FinalAtMs is when the job became final, in Unix milliseconds. Dependents measure their waiting
	// time from it.
	FinalAtMs int64 `json:"e,omitempty"`
}

// SpecRecord is the description of a submitted job, with short field names. Sizes are in GB, times in
// seconds.
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

// FleetRecord holds the properties that do not change of machines that were provisioned together.
// Only the leader adds fleet records; a returned machine is removed from the record by the owner of
// its shard.
type FleetRecord struct {
	FencingToken  uint64         `json:"t"` // of each machine, unless its group's record has a higher one
	Type          string         `json:"h"`
	Zone          string         `json:"b"`
	Spot          bool           `json:"l,omitempty"`
	ProvisionedAt int64          `json:"at,omitempty"` // in Unix seconds
	Machines      []FleetMachine `json:"m,omitempty"`
	Packed        string         `json:"y,omitempty"` // the machines, in the packed layout
}

// FleetMachine is a machine's entry in a fleet record, with its original group. GroupMachine.Moved
// marks a machine that was moved to another group later.
type FleetMachine struct {
	Name  string `json:"h"`
	Group int    `json:"r"`
	Addr  string `json:"a,omitempty"`
}

// GroupRecord holds the changing state of a group of machines that serve one shard. Writing it as one
// record keeps the changes of hundreds of machines within the state service's write rate.
type GroupRecord struct {
	Shard        int              `json:"s"`
	FencingToken uint64           `json:"t,omitempty"` // raised whenever the group moves to another shard
	Machines     []GroupMachine   `json:"m,omitempty"` // the machines whose entry is not empty
	Completed    []CompletedTasks `json:"e,omitempty"`
	Packed       string           `json:"y,omitempty"` // machines and completed tasks, in the packed layout
}

// GroupMachine is a machine's entry in its group's record: the state that changes.
type GroupMachine struct {
	Name         string `json:"h"`
	FencingToken uint64 `json:"t,omitempty"`
	Incarnation  uint64 `json:"w,omitempty"`
	Addr         string `json:"a,omitempty"` // if it differs from the address in the fleet record
	Returning    bool   `json:"c,omitempty"` // the machine is being returned; nothing may be placed on it
	Unhealthy    bool   `json:"k,omitempty"` // its tasks fail; nothing more is placed, and it is returned
	// Draining is set if nothing more is placed on the machine, its tasks that write checkpoints are
	// moved off, and it is returned once it is empty.
	Draining bool `json:"d,omitempty"`
	// Moved is set if the machine was moved here from another group; its group in the fleet record
	// no longer applies.
	Moved bool          `json:"mv,omitempty"`
	Tasks []PlacedTasks `json:"x,omitempty"`
}

// CompletedTasks lists completed tasks of one job that may not be in the job's own record yet. They
// stay in the group's record until they are, or until the job is final.
type CompletedTasks struct {
	Job   string `json:"j"`
	Tasks []int  `json:"n"`
}

// PlacedTasks holds the tasks of one job on a machine as four numbers per task: task number, attempt,
// placement time in Unix seconds, and seconds waited before the placement. With the last two a new
// owner of the shard ranks preemption candidates as the previous owner did.
type PlacedTasks struct {
	Job     string   `json:"j"`
	Numbers []uint64 `json:"p"`
}

// numbersPerTask is the number of entries per task in PlacedTasks.Numbers.
const numbersPerTask = 4

// VictimSetRecord is a set of attempts that are preempted for a job, with the capacity reserved for
// the job.
type VictimSetRecord struct {
	Shard        int                 `json:"s"`
	Victims      []VictimRecord      `json:"v,omitempty"`
	Reservations []ReservationRecord `json:"r,omitempty"`
	ChosenAtMs   int64               `json:"at"`          // when the set was chosen, in Unix milliseconds
	Packed       string              `json:"y,omitempty"` // victims and reservations, in the packed layout
}

// VictimRecord identifies one attempt to preempt.
type VictimRecord struct {
	Machine string  `json:"h"`
	Job     string  `json:"j"`
	Task    int     `json:"t"`
	Attempt uint64  `json:"a"`
	Score   float64 `json:"x"` // preemption score, to one decimal place in the packed layout
}

// ReservationRecord reserves capacity for a number of the job's tasks on a machine.
type ReservationRecord struct {
	Machine string `json:"h"`
	Slots   int    `json:"n"`
}

// tasksPerCompletionSet is the number of tasks that one completion set covers: 1 KiB of the bitmap, which
// takes 1.4 KB of its record in base64.
const tasksPerCompletionSet = 8192

// CompletionRecord is the record of one completion set: a part of the bitmap of a job's completed
// tasks.
type CompletionRecord struct {
	Done string `json:"d"` // a part of a Bitmap, in base64
}

// chunkRecord is one chunk of a description that is too long for its job's record.
type chunkRecord struct {
	Text        string `json:"x"`
	WrittenAtMs int64  `json:"at"` // when the chunk was written, in Unix milliseconds
}

// BaselineRecord is the baseline demand that the leader has estimated, largest queue first.
type BaselineRecord struct {
	Queues []BaselineQueue `json:"l"`
}

// BaselineQueue is the baseline demand of a class of a team: the work that arrives per second, in CPU
// seconds, according to the users' estimates. This equals the average number of CPUs that the work
// keeps busy.
type BaselineQueue struct {
	Team  string  `json:"t"`
	Class string  `json:"c"`
	Cpus  float64 `json:"u"`
}

// TeamRecord overrides a team's guarantee and limit in the settings file.
type TeamRecord struct {
	TeamBounds
	// PreviousBounds holds the previous bounds. Its limit still counts while the team uses more than the new
	// one; no more of the team's tasks start meanwhile.
	PreviousBounds *TeamBounds `json:"was,omitempty"`
}

// TeamBounds holds a team's guarantee (Cpus, Gpus) and limit (CpusMax, GpusMax), in CPUs and
// accelerators; a limit of 0 means no limit.
type TeamBounds struct {
	Cpus    float64 `json:"cpus"`
	CpusMax float64 `json:"cpus_max"`
	Gpus    float64 `json:"gpus"`
	GpusMax float64 `json:"gpus_max"`
}

// SpecOf returns the description record of a submission.
func SpecOf(submission *protocol.Submission) *SpecRecord {
	return &SpecRecord{
		Class: submission.Class, Shape: uint8(submission.Shape), Priority: uint8(submission.Priority),
		Cpus: submission.Cpus, Gpus: submission.Gpus, Mem: submission.MemGB, Image: submission.Image, ImageGB: submission.ImageGB, Types: submission.Types,
		Zone: submission.Zone, OneZone: submission.OneZone, Spread: submission.Spread, Spot: submission.Spot, Estimate: submission.EstimateS,
		CheckpointInterval: submission.CheckpointS, CheckpointCost: submission.CheckpointCostS, Deadline: submission.DeadlineS,
	}
}
