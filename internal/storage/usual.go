package storage

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"
)

// This file owns the record of what is usual. A node of a version before it reads no such
// key and leaves it alone; it is only written once the packed layout is.

// UsualKey holds what the classes of the teams usually ask for.
const UsualKey = Root + "usual"

// maxLanes is how many classes of a team are told apart; names of classes come from users.
const maxLanes = 32

// Lane is a class of one team, by their indices.
type Lane struct{ Team, Class int }

// Index is a lane's place among all; there are LaneCount of them.
func (l Lane) Index() int { return l.Team*maxLanes + l.Class }

// LaneCount is how many lanes so many teams can have.
func LaneCount(teams int) int { return teams * maxLanes }

// LaneOf is the lane that a job is in. Classes beyond those told apart share one.
func LaneOf(j *Job) Lane { return Lane{j.Team, min(j.Class, maxLanes-1)} }

// UsualRecord is what the leader has learned, largest first.
type UsualRecord struct {
	Lanes []UsualLane `json:"l"`
}

// UsualLane is what a class of a team usually asks for: the work that arrives in a second,
// in seconds of a CPU, by its owners' estimates. So it is also how many CPUs that work
// keeps busy on average.
type UsualLane struct {
	Team  string  `json:"t"`
	Class string  `json:"c"`
	Cpus  float64 `json:"u"`
}

// Usual is the record as the cache has it; Version 0: nothing is known yet.
type Usual struct {
	Cpus    map[Lane]float64
	Version uint64
}

// UsualRecordOf makes a record of at most limit bytes; the smallest lanes are left out
// where it would be larger.
func (b *Cache) UsualRecordOf(cpus map[Lane]float64, limit int) UsualRecord {
	var r UsualRecord
	for l, u := range cpus {
		r.Lanes = append(r.Lanes, UsualLane{b.Teams[l.Team].Name, b.Classes.Name(l.Class), math.Round(u*1000) / 1000})
	}
	slices.SortFunc(r.Lanes, func(x, y UsualLane) int {
		return cmp.Or(cmp.Compare(y.Cpus, x.Cpus), cmp.Compare(x.Team, y.Team), cmp.Compare(x.Class, y.Class))
	})
	for len(r.Lanes) > 0 && len(Encode(r)) > limit {
		r.Lanes = r.Lanes[:len(r.Lanes)*9/10]
	}
	return r
}

func (b *Cache) applyUsual(value json.RawMessage, version uint64) error {
	var r UsualRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return fmt.Errorf("record %s: %w", UsualKey, err)
	}
	u := Usual{Cpus: map[Lane]float64{}, Version: version}
	for _, x := range r.Lanes {
		// A team that the settings name no more has no jobs either.
		if t := b.TeamIdx.Find(x.Team); t >= 0 && x.Cpus > 0 {
			u.Cpus[Lane{t, min(b.Classes.Index(x.Class), maxLanes-1)}] = x.Cpus
		}
	}
	b.Usual = u
	return nil
}

// Asked is what was asked for: jobs, and their work in seconds of a CPU.
type Asked struct{ Jobs, Work float64 }

// ask counts a job that is new to this process.
func (b *Cache) ask(j *Job) {
	if j.Estimate > 0 {
		a := b.Asked[LaneOf(j)]
		b.Asked[LaneOf(j)] = Asked{a.Jobs + 1, a.Work + float64(j.Tasks)*j.Size*j.Estimate}
	}
}
