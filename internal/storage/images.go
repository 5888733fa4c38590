package storage

import (
	"slices"
	"time"
)

// maxImagesPerMachine is how many images of a machine are remembered.
const maxImagesPerMachine = 64

// A task has fetched its image once it has been there for the time that the fetch takes, with a
// margin in proportion to it and one in seconds.
const (
	fetchTimeFactor    = 1.3
	fetchMarginSeconds = 1
)

// imageSizes are the sizes of images in GB, by index. They outlive the jobs that need them.
type imageSizes struct {
	gigabytes []float64
}

func (s *imageSizes) set(job *Job) {
	for len(s.gigabytes) <= job.Image {
		s.gigabytes = append(s.gigabytes, 0)
	}
	s.gigabytes[job.Image] = job.ImageGB
}

func (s *imageSizes) size(image int) float64 {
	if image < len(s.gigabytes) {
		return s.gigabytes[image]
	}
	return 0
}

// ImageGB is the size of an image, in GB; 0 if no job that was read needs it.
func (c *Cache) ImageGB(image int) float64 { return c.imageSizes.size(image) }

// UseImage notes an image as the most recently used of a list.
func UseImage(images []int, image int) []int {
	if last := len(images) - 1; last >= 0 && images[last] == image {
		return images
	}
	if i := slices.Index(images, image); i >= 0 {
		images = slices.Delete(images, i, i+1)
	}
	images = append(images, image)
	return images[max(0, len(images)-maxImagesPerMachine):]
}

// recordImages notes the images of a machine's tasks that have been there for long enough to
// have fetched them. What still waits may give its fetch up. Every controller derives the images of
// machines from the records, so that a new owner knows them too: one that took 90 machines over
// knew only the images of what ran, and had replicas fetch for half a minute what lay next door.
func (c *Cache) recordImages(machine *Machine) {
	now := time.Now().Unix()
	for i := range machine.Tasks {
		placed := &machine.Tasks[i]
		fetchSeconds := 0.0
		if rate := c.Types[machine.Type].FetchGBs; rate > 0 {
			fetchSeconds = placed.Job.ImageGB / rate
		}
		if float64(now-placed.PlacedAt) > fetchTimeFactor*fetchSeconds+fetchMarginSeconds {
			machine.Images = UseImage(machine.Images, placed.Job.Image)
		}
	}
}
