package storage

import (
	"slices"
	"time"
)

// This file owns which images machines have, as far as the records tell. Every controller derives
// it from what it follows, so that a new owner knows it too: one that took 90 machines over
// knew only the images of what ran, and had replicas fetch for half a minute what lay next door.

// maxImages is how many images of a machine are remembered.
const maxImages = 64

// UseImage notes an image as the most recently used of a list.
func UseImage(list []int, image int) []int {
	if n := len(list); n > 0 && list[n-1] == image {
		return list
	}
	if i := slices.Index(list, image); i >= 0 {
		list = slices.Delete(list, i, i+1)
	}
	list = append(list, image)
	return list[max(0, len(list)-maxImages):]
}

// recordImages takes down the images of a machine's tasks that have been there for long enough to
// have fetched them. What still waits may give its fetch up.
func (c *Cache) recordImages(m *Machine, tasks []PlacedTask) {
	now := time.Now().Unix()
	for _, p := range tasks {
		takes := 0.0
		if f := c.Types[m.Type].FetchGBs; f > 0 {
			takes = p.Job.ImageGB / f
		}
		if float64(now-p.PlacedAt) > 1.3*takes+1 {
			m.Images = UseImage(m.Images, p.Job.Image)
		}
	}
}

// ImageGB is the size of an image, in GB; 0 if no job that was read needs it.
func (c *Cache) ImageGB(image int) float64 {
	if image < len(c.imageGB) {
		return c.imageGB[image]
	}
	return 0
}

func (c *Cache) recordImageSize(j *Job) {
	for len(c.imageGB) <= j.Image {
		c.imageGB = append(c.imageGB, 0)
	}
	c.imageGB[j.Image] = j.ImageGB
}
