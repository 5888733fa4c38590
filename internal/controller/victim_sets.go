package controller

import (
	"slices"
	"strings"
	"time"

	"dykeledge/internal/controller/schedule"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// A victim set is a record that names the attempts to stop for the benefit of a job or because of a
// team's limit, and the capacity that is reserved for the job meanwhile.

// Upper bounds on the size of a victim's entry in a victim set's record, in bytes.
const (
	victimBytes       = 130
	victimBytesPacked = 24
)

// truncateToRecordLimit returns as many of the chosen candidates, beginning with the first, as one
// record can name. A job that needs more preempts again once this victim set is finished.
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

// victimRecords returns the records of the candidates' victims. Each holds its candidate's score,
// truncated to one decimal.
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

// putVictimSet adds a record of the victims chosen for a job to the transaction, so that it is
// written before any of them is stopped. delaying are further victims, whose image fetches delay the job's;
// as many of them are added as the record can name. short is the number of the job's tasks that lack capacity.
func (c *Controller) putVictimSet(now time.Time, builder *txnBuilder, job *storage.Job, chosen, delaying []schedule.Candidate, short int) {
	reservations := reservationsFor(job, chosen, short)
	victims := c.truncateToRecordLimit(slices.Concat(chosen, delaying))
	c.requireVictimGroups(builder, victims)
	record := storage.VictimSetRecord{
		Shard:        job.Shard,
		ChosenAtMs:   now.UnixMilli(),
		Victims:      victimRecords(victims),
		Reservations: reservations,
	}
	c.jobState(job).preemptedTasks += len(record.Victims)
	c.log.Info("preempting", "job", job.ID, "victims", len(record.Victims), "delaying_fetches", len(victims)-len(chosen), "slots", len(record.Reservations), "shard", job.Shard)
	builder.require(storage.JobKey(job.ID), job.Version)
	raw := storage.EncodeVictimSet(&record, c.cache.Packed())
	if len(raw) > c.valueLimit() {
		c.log.Error("victim set record exceeds the value limit", "job", job.ID, "victims", len(record.Victims), "bytes", len(raw))
		return
	}
	key := storage.VictimSetKey(job.ID)
	builder.put(key, 0, protocol.Change{Put: key, Value: raw})
}

// requireVictimGroups makes the transaction depend on the group records that hold the victims, as
// far as the limit on conditions allows. A victim whose group is not covered may have ended
// meanwhile; stopping it then has no effect.
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

// reservationsFor returns the capacity, by machine name, that a job's tasks will have once the
// victims have ended, for at most short tasks.
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

// reservedCapacity returns the capacity that victim sets reserve for their jobs, by machine name.
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

// victimSetFinished reports whether a victim set is finished: its victims have ended, and the job
// for which capacity was reserved has taken it or needs no more, or the job is over. A set for a
// team's limit reserves no capacity.
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

// victimsGone reports whether no machine's record holds a victim of a set any more.
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

// reservationsUsed reports whether all capacity that a set reserves has been taken by its job or
// has become unavailable.
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

// slotsLeft returns how many of a reservation's slots its job has not taken yet.
func slotsLeft(set *storage.VictimSet, reservation storage.ReservationRecord, job *storage.Job, machine *storage.Machine) int {
	left := reservation.Slots
	for _, placed := range machine.Tasks {
		if placed.Job == job && placed.Attempt > set.Version {
			left--
		}
	}
	return left
}
