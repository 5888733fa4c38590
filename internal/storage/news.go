package storage

// news collects which jobs, machines and evicted sets have changed, each once, for whoever
// shows the cache to others. A cache that nobody watches collects nothing.
type news struct {
	jobs     []*Job
	machines []*Machine
	evicted  map[string]bool
}

// Watch begins to collect news. It is called before the first record is taken.
func (b *Cache) Watch() { b.news = &news{evicted: map[string]bool{}} }

// News hands over up to limit jobs and machines that have changed since they were last
// handed over, and the evicted sets; more tells that others are left. A job that was
// forgotten comes a last time, with its final state.
func (b *Cache) News(limit int) (jobs []*Job, machines []*Machine, evicted []string, more bool) {
	n := b.news
	jobs, n.jobs = cut(n.jobs, limit)
	machines, n.machines = cut(n.machines, limit)
	for _, j := range jobs {
		j.noted = false
	}
	for _, m := range machines {
		m.noted = false
	}
	for id := range n.evicted {
		evicted = append(evicted, id)
	}
	clear(n.evicted)
	return jobs, machines, evicted, len(n.jobs)+len(n.machines) > 0
}

// Unshown is how many changed jobs and machines wait to be handed over.
func (b *Cache) Unshown() int { return len(b.news.jobs) + len(b.news.machines) }

func cut[T any](list []T, limit int) (head, rest []T) {
	if len(list) <= limit {
		return list, nil
	}
	return list[:limit:limit], list[limit:]
}

func (b *Cache) noteJob(j *Job) {
	if b.news != nil && !j.noted {
		j.noted = true
		b.news.jobs = append(b.news.jobs, j)
	}
}

func (b *Cache) noteMachine(m *Machine) {
	if b.news != nil && !m.noted {
		m.noted = true
		b.news.machines = append(b.news.machines, m)
	}
}

func (b *Cache) noteEvicted(id string) {
	if b.news != nil {
		b.news.evicted[id] = true
	}
}

// noteTypes notes all machines: what they cost has changed.
func (b *Cache) noteTypes() {
	if b.news == nil {
		return
	}
	b.order.machines.Scan(func(m *Machine) bool {
		b.noteMachine(m)
		return true
	})
}
