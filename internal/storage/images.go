package storage

import (
	"slices"
	"time"
)

// maxImagesPerMachine is the number of most recently used images kept for a machine.
const maxImagesPerMachine = 64

// A task is assumed to have fetched its image once it has been placed for longer than the expected
// fetch time multiplied by fetchTimeFactor plus fetchMarginSeconds.
const (
	fetchTimeFactor    = 1.3
	fetchMarginSeconds = 1
)

// imageSizes holds the sizes of images in GB, by image index. The sizes are kept after the jobs that
// use the images are pruned.
type imageSizes struct {
	gigabytes []float64
}

func (s *imageSizes) record(job *Job) {
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

// ImageGB returns the size of an image in GB; 0 if no job that was read uses the image.
func (c *Cache) ImageGB(image int) float64 { return c.imageSizes.size(image) }

// TouchImage makes an image the last, most recently used entry of a list and returns the list, which is
// limited to maxImagesPerMachine entries.
func TouchImage(images []int, image int) []int {
	if last := len(images) - 1; last >= 0 && images[last] == image {
		return images
	}
	if i := slices.Index(images, image); i >= 0 {
		images = slices.Delete(images, i, i+1)
	}
	images = append(images, image)
	return images[max(0, len(images)-maxImagesPerMachine):]
}

// recordImages adds the images of a machine's tasks to its image list if the tasks have been placed
// long enough to have fetched them; an unfinished fetch may still be abandoned. Every controller
// derives the lists from the records, so that a new owner of a shard has them too: an owner that took
// over 90 machines had only the images of running tasks, and replicas spent half a minute fetching
// images that other machines already had.
func (c *Cache) recordImages(machine *Machine) {
	now := time.Now().Unix()
	for i := range machine.Tasks {
		placed := &machine.Tasks[i]
		fetchSeconds := 0.0
		if rate := c.Types[machine.Type].FetchGBPerSecond; rate > 0 {
			fetchSeconds = placed.Job.ImageGB / rate
		}
		if float64(now-placed.PlacedAt) > fetchTimeFactor*fetchSeconds+fetchMarginSeconds {
			machine.Images = TouchImage(machine.Images, placed.Job.Image)
		}
	}
}
