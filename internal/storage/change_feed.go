package storage

// changeFeed collects which jobs, machines and evicted sets have changed, each once, for whoever
// shows the cache to others. A cache that nobody watches collects nothing.
type changeFeed struct {
	jobs     []*Job
	machines []*Machine
	evicted  map[string]bool
}

// EnableChangeFeed begins to collect news. It is called before the first record is taken.
func (c *Cache) EnableChangeFeed() { c.feed = &changeFeed{evicted: map[string]bool{}} }

// TakeChanges hands over up to limit jobs and machines that have changed since they were last
// handed over, and the evicted sets; more tells that others are left. A job that was
// forgotten comes a last time, with its final state.
func (c *Cache) TakeChanges(limit int) (jobs []*Job, machines []*Machine, evicted []string, more bool) {
	changeFeed := c.feed
	jobs, changeFeed.jobs = splitAt(changeFeed.jobs, limit)
	machines, changeFeed.machines = splitAt(changeFeed.machines, limit)
	for _, j := range jobs {
		j.inChangeFeed = false
	}
	for _, m := range machines {
		m.inChangeFeed = false
	}
	for id := range changeFeed.evicted {
		evicted = append(evicted, id)
	}
	clear(changeFeed.evicted)
	return jobs, machines, evicted, len(changeFeed.jobs)+len(changeFeed.machines) > 0
}

// PendingChanges is how many changed jobs and machines wait to be handed over.
func (c *Cache) PendingChanges() int { return len(c.feed.jobs) + len(c.feed.machines) }

func splitAt[T any](list []T, limit int) (head, rest []T) {
	if len(list) <= limit {
		return list, nil
	}
	return list[:limit:limit], list[limit:]
}

func (c *Cache) feedJob(j *Job) {
	if c.feed != nil && !j.inChangeFeed {
		j.inChangeFeed = true
		c.feed.jobs = append(c.feed.jobs, j)
	}
}

func (c *Cache) feedMachine(m *Machine) {
	if c.feed != nil && !m.inChangeFeed {
		m.inChangeFeed = true
		c.feed.machines = append(c.feed.machines, m)
	}
}

func (c *Cache) feedVictimSet(id string) {
	if c.feed != nil {
		c.feed.evicted[id] = true
	}
}

// feedAllMachines notes all machines: what they cost has changed.
func (c *Cache) feedAllMachines() {
	if c.feed == nil {
		return
	}
	c.sorted.machines.Scan(func(m *Machine) bool {
		c.feedMachine(m)
		return true
	})
}
