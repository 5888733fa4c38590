package storage

import (
	"slices"

	"dykeledge/internal/protocol"
)

// MachineType is a machine type of the catalog, by index. Memory and caches are in GB, fetches in
// GB a second, the boot time in seconds; prices are as the cloud gives them.
type MachineType struct {
	Cpus, Gpus, Mem   float64
	CacheGB, FetchGBs float64
	Price, SpotPrice  float64
	BootS             float64
	Zones             []int
}

// HasCatalog tells whether any machine type is known.
func (c *Cache) HasCatalog() bool { return len(c.Types) > 0 && c.Types[0].Cpus > 0 }

// UpdateCatalog takes the cloud's machine types.
func (c *Cache) UpdateCatalog(catalog *protocol.Catalog) {
	for _, listed := range catalog.Types {
		index := c.TypeIndex.Index(listed.Name)
		c.growTypes()
		machineType := MachineType{
			Cpus: listed.Cpus, Gpus: listed.Gpus, Mem: listed.MemGB,
			CacheGB: listed.CacheGB, FetchGBs: listed.FetchGBs,
			Price: listed.Price, SpotPrice: listed.SpotPrice,
			BootS: listed.BootS,
		}
		for _, zone := range listed.Zones {
			machineType.Zones = append(machineType.Zones, c.Zones.Index(zone))
		}
		c.Types[index] = machineType
	}
	for _, job := range c.Jobs {
		if job != nil {
			job.Size = c.sizeOf(job)
		}
	}
}

// growTypes makes room for types that were named before the catalog lists them.
func (c *Cache) growTypes() {
	for len(c.Types) < c.TypeIndex.Len() {
		c.Types = append(c.Types, MachineType{})
	}
}

// sizeOf is what one task of a job takes of a machine, in CPUs: its own, or those that its
// accelerators or its memory stand for, if these bind. Of several types it is the one of which the
// task takes least. A machine whose accelerators are all taken has nothing left, however many of its CPUs idle.
func (c *Cache) sizeOf(job *Job) float64 {
	least := 0.0
	for i := range c.Types {
		if !job.fits(i, &c.Types[i]) {
			continue
		}
		if size := job.sizeOn(&c.Types[i]); least == 0 || size < least {
			least = size
		}
	}
	return max(least, job.Cpus)
}

// fits tells whether a machine of a type has room for a task of the job.
func (j *Job) fits(index int, machineType *MachineType) bool {
	if machineType.Cpus <= 0 || j.Cpus > machineType.Cpus || j.Gpus > machineType.Gpus || j.Mem > machineType.Mem {
		return false
	}
	return len(j.Types) == 0 || slices.Contains(j.Types, index)
}

// sizeOn is the CPUs of a machine of a type that a task of the job stands for.
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
