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
func (b *Cache) recordImages(m *Machine, tasks []PlacedTask) {
	now := time.Now().Unix()
	for _, p := range tasks {
		takes := 0.0
		if f := b.Types[m.Type].FetchGBs; f > 0 {
			takes = p.Job.ImageGB / f
		}
		if float64(now-p.PlacedAt) > 1.3*takes+1 {
			m.Images = UseImage(m.Images, p.Job.Image)
		}
	}
}

// ImageGB is the size of an image, in GB; 0 if no job that was read needs it.
func (b *Cache) ImageGB(image int) float64 {
	if image < len(b.imageGB) {
		return b.imageGB[image]
	}
	return 0
}

func (b *Cache) recordImageSize(j *Job) {
	for len(b.imageGB) <= j.Image {
		b.imageGB = append(b.imageGB, 0)
	}
	b.imageGB[j.Image] = j.ImageGB
}
