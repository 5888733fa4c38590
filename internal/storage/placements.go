package storage

// Usage is the resources used by a team's placed tasks: CPUs, accelerators and memory in GB.
type Usage struct{ Cpus, Gpus, Mem float64 }

// Add adds the resources of a number of tasks of a job; a negative number subtracts them.
func (u *Usage) Add(job *Job, tasks float64) {
	u.Cpus += tasks * job.Cpus
	u.Gpus += tasks * job.Gpus
	u.Mem += tasks * job.Mem
}

// setTasks replaces a machine's tasks and updates the counts of the jobs and the usage of the teams.
func (c *Cache) setTasks(machine *Machine, tasks []PlacedTask) {
	c.recordImages(machine)
	for i := range machine.Tasks {
		c.removePlacement(machine, &machine.Tasks[i])
	}
	for i := range tasks {
		c.addPlacement(machine, &tasks[i])
	}
	machine.Tasks = tasks
}

func (c *Cache) removePlacement(machine *Machine, placed *PlacedTask) {
	job, task := placed.Job, placed.Task
	if job.MachineOf[task] == machine.Index {
		job.MachineOf[task], job.AttemptOf[task] = NotPlaced, 0
	}
	job.PlacedCount--
	job.PlacedByZone[machine.Zone]--
	job.firstWaitingBound = min(job.firstWaitingBound, task)
	c.TeamUsage[job.Team].Add(job, -1)
	c.feed.addJob(job)
}

func (c *Cache) addPlacement(machine *Machine, placed *PlacedTask) {
	job, task := placed.Job, placed.Task
	job.MachineOf[task], job.AttemptOf[task] = machine.Index, placed.Attempt
	job.PlacedCount++
	for len(job.PlacedByZone) <= machine.Zone {
		job.PlacedByZone = append(job.PlacedByZone, 0)
	}
	job.PlacedByZone[machine.Zone]++
	c.TeamUsage[job.Team].Add(job, 1)
	c.feed.addJob(job)
}
