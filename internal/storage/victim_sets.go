package storage

// VictimSet is a cached victim set: attempts that are preempted for a job.
type VictimSet struct {
	VictimSetRecord
	Job     string
	Version uint64
}

// victimAttempt identifies an attempt in a victim set.
type victimAttempt struct {
	job     string
	task    int
	attempt uint64
}

// victimIndex is the set of the attempts in all victim sets.
type victimIndex struct {
	attempts map[victimAttempt]bool
}

func newVictimIndex() *victimIndex { return &victimIndex{map[victimAttempt]bool{}} }

func (v *victimIndex) add(victim *VictimRecord) {
	v.attempts[victimAttempt{victim.Job, victim.Task, victim.Attempt}] = true
}

func (v *victimIndex) remove(victim *VictimRecord) {
	delete(v.attempts, victimAttempt{victim.Job, victim.Task, victim.Attempt})
}

func (v *victimIndex) contains(placed PlacedTask) bool {
	return len(v.attempts) > 0 && v.attempts[victimAttempt{placed.Job.ID, placed.Task, placed.Attempt}]
}

// IsVictim reports whether an attempt is in a victim set.
func (c *Cache) IsVictim(placed PlacedTask) bool { return c.victims.contains(placed) }

// applyVictimSet applies a change of a victim set's record. The revision of a deletion is not kept,
// because there may be as many such keys as there have ever been jobs.
func (c *Cache) applyVictimSet(id string, change recordChange) error {
	if change.deleted {
		c.setVictimSet(id, nil)
		delete(c.revisions, VictimSetKey(id))
		return nil
	}
	record, err := DecodeVictimSet(change.value)
	if err != nil {
		return err
	}
	c.setVictimSet(id, &VictimSet{record, id, change.revision})
	return nil
}

// setVictimSet replaces the victim set that is preempted for a job; a nil set removes it.
func (c *Cache) setVictimSet(id string, set *VictimSet) {
	c.feed.addVictimSet(id)
	if job := c.jobs.find(id); job != nil {
		c.feed.addJob(job)
	}
	if old := c.VictimSets[id]; old != nil {
		for i := range old.Victims {
			c.victims.remove(&old.Victims[i])
			c.markChangedByName(old.Victims[i].Machine)
		}
	}
	delete(c.VictimSets, id)
	if set == nil {
		return
	}
	c.VictimSets[id] = set
	for i := range set.Victims {
		c.victims.add(&set.Victims[i])
		c.markChangedByName(set.Victims[i].Machine)
	}
}

func (c *Cache) markChangedByName(name string) {
	if machine := c.Machine(name); machine != nil {
		c.markChanged(machine)
	}
}
