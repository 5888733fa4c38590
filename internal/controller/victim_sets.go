package controller

import (
	"slices"
	"strings"
	"time"

	"dykeledge/internal/controller/schedule"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// A victim set is a record that names the attempts which have to stop for a job or for a team's
// limit, and the capacity that is kept for the job meanwhile.

// What a victim takes in a victim set's record, in bytes at most.
const (
	victimBytes       = 130
	victimBytesPacked = 24
)

// truncateToRecordLimit keeps as many of the chosen candidates as one record can name. A job
// that needs more preempts again once this set has served.
func (c *Controller) truncateToRecordLimit(chosen []schedule.Candidate) []schedule.Candidate {
	bytesPerVictim := victimBytes
	if c.cache.Packed() {
		bytesPerVictim = victimBytesPacked
	}
	left := c.valueLimit() * 8 / 10 / bytesPerVictim
	for i, candidate := range chosen {
		if left -= len(candidate.Victims); left < 0 {
			return chosen[:i]
		}
	}
	return chosen
}

// victimRecords name the victims of candidates, with their candidate's score to the tenth.
func victimRecords(chosen []schedule.Candidate) []storage.VictimRecord {
	var records []storage.VictimRecord
	for _, candidate := range chosen {
		score := float64(int(candidate.Score*10)) / 10
		for _, victim := range candidate.Victims {
			records = append(records, storage.VictimRecord{
				Machine: victim.Slot.Machine.Name, Job: victim.Job.ID, Task: victim.Task, Attempt: victim.Attempt, Score: score})
		}
	}
	return records
}

// putVictimSet writes the victims chosen for a job as one record, before any of them is stopped.
// short is how many tasks of the job lack capacity.
func (c *Controller) putVictimSet(now time.Time, builder *txnBuilder, job *storage.Job, chosen []schedule.Candidate, short int) {
	c.requireVictimGroups(builder, chosen)
	record := storage.VictimSetRecord{
		Shard:        job.Shard,
		AtMs:         now.UnixMilli(),
		Victims:      victimRecords(chosen),
		Reservations: reservationsFor(job, chosen, short),
	}
	c.jobState(job).preemptedTasks += len(record.Victims)
	c.log.Info("preempting", "job", job.ID, "victims", len(record.Victims), "slots", len(record.Reservations), "shard", job.Shard)
	builder.require(storage.JobKey(job.ID), job.Version)
	raw := storage.EncodeVictimSet(&record, c.cache.Packed())
	if len(raw) > c.valueLimit() {
		c.log.Error("victim set does not fit its record", "job", job.ID, "victims", len(record.Victims), "bytes", len(raw))
		return
	}
	key := storage.VictimSetKey(job.ID)
	builder.put(key, 0, protocol.Change{Put: key, Value: raw})
}

// requireVictimGroups makes the transaction depend on the records that hold the victims, as far
// as conditions are left. A victim that has ended meanwhile does no harm: its stop finds nothing.
func (c *Controller) requireVictimGroups(builder *txnBuilder, chosen []schedule.Candidate) {
	maxConditions := conditionsPerOp*c.limits().TxnOps - 2 - c.cache.NumShards
	for _, candidate := range chosen {
		for _, victim := range candidate.Victims {
			group := victim.Slot.Machine.Group
			key := storage.GroupKey(group.ID)
			if _, ok := builder.conditions[key]; ok || len(builder.conditions) < maxConditions {
				builder.require(key, group.Version)
			}
		}
	}
}

// reservationsFor is where a job's tasks have capacity once the victims are gone, for at most
// short of them, by machine name.
func reservationsFor(job *storage.Job, chosen []schedule.Candidate, short int) []storage.ReservationRecord {
	freed := map[*schedule.Slot]storage.Usage{}
	for _, candidate := range chosen {
		for _, victim := range candidate.Victims {
			usage, ok := freed[victim.Slot]
			if !ok {
				usage = schedule.FreeFor(victim.Slot, job)
			}
			usage.Add(victim.Job, 1)
			freed[victim.Slot] = usage
		}
	}
	var reservations []storage.ReservationRecord
	for slot, usage := range freed {
		if slots := min(short, schedule.Fits(usage, job)); slots > 0 {
			reservations = append(reservations, storage.ReservationRecord{Machine: slot.Machine.Name, Slots: slots})
			short -= slots
		}
	}
	slices.SortFunc(reservations, func(a, b storage.ReservationRecord) int { return strings.Compare(a.Machine, b.Machine) })
	return reservations
}

// reservedCapacity is what victim sets keep for their jobs, by machine name.
func (c *Controller) reservedCapacity() map[string][]schedule.Reservation {
	reserved := map[string][]schedule.Reservation{}
	for id, set := range c.cache.VictimSets {
		job := c.cache.Job(id)
		if job == nil || !job.Open() {
			continue
		}
		for _, reservation := range set.Reservations {
			machine := c.cache.Machine(reservation.Machine)
			if machine == nil {
				continue
			}
			if slots := slotsLeft(set, reservation, job, machine); slots > 0 {
				reserved[machine.Name] = append(reserved[machine.Name], schedule.Reservation{Job: job, Slots: slots})
			}
		}
	}
	return reserved
}

// victimSetFinished tells whether a victim set has served: its victims are gone, and the job that
// it freed capacity for has taken it, or is over. A set for a team's limit reserves none.
func (c *Controller) victimSetFinished(id string, set *storage.VictimSet) bool {
	if _, forLimit := limitSetTeam(id); forLimit {
		return c.victimsGone(set)
	}
	job := c.cache.Job(id)
	if job == nil || !job.Open() {
		return true
	}
	return c.victimsGone(set) && (job.Waiting() == 0 || c.reservationsUsed(set, job))
}

// victimsGone tells whether no machine's record holds a victim of a set any more.
func (c *Controller) victimsGone(set *storage.VictimSet) bool {
	for _, victim := range set.Victims {
		machine := c.cache.Machine(victim.Machine)
		if machine == nil {
			continue
		}
		for _, placed := range machine.Tasks {
			if placed.Attempt == victim.Attempt && placed.Task == victim.Task && placed.Job.ID == victim.Job {
				return false
			}
		}
	}
	return true
}

// reservationsUsed tells whether all capacity that a set keeps is taken by its job, or lost.
func (c *Controller) reservationsUsed(set *storage.VictimSet, job *storage.Job) bool {
	for _, reservation := range set.Reservations {
		machine := c.cache.Machine(reservation.Machine)
		if machine == nil || machine.Returning || machine.Shard != set.Shard {
			continue
		}
		if worker := c.workers.states[machine.Index]; worker != nil && !c.usable(machine, worker, time.Now()) {
			continue
		}
		if slotsLeft(set, reservation, job, machine) > 0 {
			return false
		}
	}
	return true
}

// slotsLeft is how many of a reservation's slots its job has not taken.
func slotsLeft(set *storage.VictimSet, reservation storage.ReservationRecord, job *storage.Job, machine *storage.Machine) int {
	left := reservation.Slots
	for _, placed := range machine.Tasks {
		if placed.Job == job && placed.Attempt > set.Version {
			left--
		}
	}
	return left
}
