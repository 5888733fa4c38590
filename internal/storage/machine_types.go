package storage

import (
	"slices"

	"dykeledge/internal/protocol"
)

// MachineType is a machine type of the cloud's catalog. Memory and image cache sizes are in GB, the
// fetch rate is in GB/s, the boot time in seconds, prices are in currency units per hour.
type MachineType struct {
	Cpus, Gpus, Mem           float64
	CacheGB, FetchGBPerSecond float64
	Price, SpotPrice          float64
	BootSeconds               float64
	Zones                     []int
}

// HasCatalog reports whether the first machine type has its properties from the catalog.
func (c *Cache) HasCatalog() bool { return len(c.Types) > 0 && c.Types[0].Cpus > 0 }

// UpdateCatalog sets the machine types from the cloud's catalog and updates the sizes of all jobs.
func (c *Cache) UpdateCatalog(catalog *protocol.Catalog) {
	for _, listed := range catalog.Types {
		index := c.TypeIndex.Index(listed.Name)
		c.growTypes()
		machineType := MachineType{
			Cpus: listed.Cpus, Gpus: listed.Gpus, Mem: listed.MemGB,
			CacheGB: listed.CacheGB, FetchGBPerSecond: listed.FetchGBs,
			Price: listed.Price, SpotPrice: listed.SpotPrice,
			BootSeconds: listed.BootS,
		}
		for _, zone := range listed.Zones {
			machineType.Zones = append(machineType.Zones, c.Zones.Index(zone))
		}
		c.Types[index] = machineType
	}
	for _, job := range c.Jobs {
		if job != nil {
			job.TaskSize = c.sizeOf(job)
		}
	}
}

// growTypes extends Types to all indices in TypeIndex; types may be named before the catalog lists
// them.
func (c *Cache) growTypes() {
	for len(c.Types) < c.TypeIndex.Len() {
		c.Types = append(c.Types, MachineType{})
	}
}

// sizeOf returns the size of one task of a job in CPUs: its requested CPUs, or the CPUs that
// correspond to its share of a machine's accelerators or memory if that is more. If the task fits
// several machine types, the smallest size counts. Accelerators and memory count because a machine
// whose accelerators are all in use has no room left, however many of its CPUs are idle.
func (c *Cache) sizeOf(job *Job) float64 {
	smallest := 0.0
	for i := range c.Types {
		if !job.fits(i, &c.Types[i]) {
			continue
		}
		if size := job.sizeOn(&c.Types[i]); smallest == 0 || size < smallest {
			smallest = size
		}
	}
	return max(smallest, job.Cpus)
}

// fits reports whether an empty machine of a type has room for a task of the job and the job allows
// the type.
func (j *Job) fits(index int, machineType *MachineType) bool {
	if machineType.Cpus <= 0 || j.Cpus > machineType.Cpus || j.Gpus > machineType.Gpus || j.Mem > machineType.Mem {
		return false
	}
	return len(j.Types) == 0 || slices.Contains(j.Types, index)
}

// sizeOn returns the size in CPUs of a task of the job on a machine type: its largest share of the
// machine's CPUs, accelerators or memory.
func (j *Job) sizeOn(machineType *MachineType) float64 {
	size := j.Cpus
	if machineType.Gpus > 0 {
		size = max(size, j.Gpus*machineType.Cpus/machineType.Gpus)
	}
	if machineType.Mem > 0 {
		size = max(size, j.Mem*machineType.Cpus/machineType.Mem)
	}
	return size
}
