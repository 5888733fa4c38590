package schedule

import "dykeledge/internal/storage"

// addInZone adds n to a zone's entry of a list, which grows as needed.
func addInZone[Number int | int32](byZone []Number, zone int, n Number) []Number {
	for len(byZone) <= zone {
		byZone = append(byZone, 0)
	}
	byZone[zone] += n
	return byZone
}

// countInZone counts one more of the job's tasks in a zone.
func (c *jobCursor) countInZone(zone int) {
	c.placedByZone = addInZone(c.placedByZone, zone, 1)
}

// tasksInZone returns how many of the job's tasks are in a zone, including those of this pass.
func (c *jobCursor) tasksInZone(zone int) int {
	n := 0
	if zone < len(c.job.PlacedByZone) {
		n += int(c.job.PlacedByZone[zone])
	}
	if zone < len(c.placedByZone) {
		n += int(c.placedByZone[zone])
	}
	return n
}

// allowsZone reports whether the job's constraints allow its next task in a zone: all tasks in one zone, or
// a limited number in each zone.
func (c *jobCursor) allowsZone(input *Input, zone int) bool {
	if c.job.OneZone && !c.isChosenZone(input, zone) {
		return false
	}
	return !c.job.Spread || c.tasksInZone(zone)+1 <= c.job.MaxPerZone()
}

// isChosenZone reports whether a zone is the one for a job that runs all its tasks in one zone: the zone of
// its tasks if it has any, else the zone with capacity for the most of its tasks.
func (c *jobCursor) isChosenZone(input *Input, zone int) bool {
	total := 0
	for other := range max(len(c.job.PlacedByZone), len(c.placedByZone)) {
		n := c.tasksInZone(other)
		if n > 0 && other != zone {
			return false
		}
		total += n
	}
	return total > 0 || zone == largestZone(input, c.job)
}

// largestZone returns the zone with capacity for the most tasks of a job; -1 if the job may run on no slot.
func largestZone(input *Input, job *storage.Job) int {
	var tasks []int // number that fit, by zone
	best := -1
	for _, slot := range input.Slots {
		if !Allowed(job, slot.Machine) {
			continue
		}
		zone := slot.Machine.Zone
		tasks = addInZone(tasks, zone, Fits(FreeFor(slot, job), job))
		if best < 0 || tasks[zone] > tasks[best] {
			best = zone
		}
	}
	return best
}
