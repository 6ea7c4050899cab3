package nodes

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/capa/meter"
	"github.com/sardinerock/sardinerock/capa/sample"
	"github.com/sardinerock/sardinerock/member"
	"github.com/sardinerock/sardinerock/place"
)

// List gives what reading the platform's list costs, by its length.
func List(r *meter.Report) error {
	var bytes, cpuTime, mem, pause []meter.Point
	for _, n := range []int{370, 3700, 11370} {
		all, _, _ := sample.Instances(n/31, n-n/31)
		data, err := json.Marshal(all)
		if err != nil {
			return err
		}
		size := float64(n)
		bytes = append(bytes, meter.At(size, float64(len(data))))
		t := &member.Tracker{Self: all[0]}
		cpuTime = append(cpuTime, meter.At(size, meter.Timed(func() {
			var list []sardinerock.Instance
			if err := json.Unmarshal(data, &list); err != nil {
				panic(err)
			}
			t.SetList(time.Now(), list)
		})))
		before := meter.Memory()
		var list []sardinerock.Instance
		if err := json.Unmarshal(data, &list); err != nil {
			return err
		}
		kept := &member.Tracker{Self: all[0]}
		kept.SetList(time.Now(), list)
		list = nil
		mem = append(mem, meter.At(size, meter.Memory()-before))
		pause = append(pause, meter.At(size, member.ListPause(all, 2*time.Second, 1000).Seconds()))
		kept.Unwatch("")
		runtime.KeepAlive(t)
		runtime.KeepAlive(all)
		runtime.KeepAlive(data)
	}
	r.Slope("reading of the instance list: bytes", "B", "instance", bytes...)
	r.Slope("reading of the instance list: CPU", "us", "instance", cpuTime...)
	r.Slope("instance list held: memory", "B", "instance", mem...)
	r.Slope("time between readings at 1,000 B/s", "s", "instance", pause...)
	return nil
}

// Members gives what choosing links and watching peers costs.
func Members(r *meter.Report) error {
	var subset, size, tick, watch, watched []meter.Point
	for _, n := range []int{6, 24, 74} {
		_, near, backends := sample.Instances(n, 30*n)
		subset = append(subset, meter.At(float64(n), meter.Timed(func() { member.Subset(near[0], near, backends, member.SubsetSize) })))
		size = append(size, meter.At(float64(n), float64(len(member.Subset(near[0], near, backends, member.SubsetSize)))))
	}
	for _, n := range []int{20, 68, 240} {
		all, _, _ := sample.Instances(0, n)
		t := &member.Tracker{}
		now := time.Now()
		t.SetList(now, all)
		for _, x := range all {
			t.Watch(now, x.ID, x.Role)
		}
		tick = append(tick, meter.At(float64(n), meter.Timed(func() { t.Tick(now) })))
	}
	for _, n := range []int{6, 74, 370} {
		ids := make([]string, n)
		for i := range ids {
			ids[i] = fmt.Sprint("entry-", i)
		}
		shards := make([]member.ShardOwner, n*28/10)
		for i := range shards {
			name := fmt.Sprint("jobs/", i)
			shards[i] = member.ShardOwner{Shard: name, Owner: member.First(name, ids, 1)[0]}
		}
		watch = append(watch, meter.At(float64(n), meter.Timed(func() { member.WatchList(ids[0], shards, ids) })))
		total := 0
		for _, id := range ids[:6] {
			total += len(member.WatchList(id, shards, ids))
		}
		watched = append(watched, meter.At(float64(n), float64(total)/6))
	}
	r.Values("choosing an entry's sides anew, 30 sides an entry: CPU", "us", subset...)
	r.Values("sides that an entry is linked to, 30 sides an entry", "links", size...)
	r.Slope("judging the watched instances: CPU", "us", "watched instance", tick...)
	r.Values("finding out whom to ping, 2.8 shards an entry: CPU", "us", watch...)
	r.Values("entries that an entry has to ping, 2.8 shards an entry", "entries", watched...)
	return nil
}

// Placement gives what planning the placement costs, by the number of engines.
func Placement(r *meter.Report) error {
	models := make([]sardinerock.Model, 4)
	for i := range models {
		models[i] = sardinerock.Model{
			Name: fmt.Sprint("model-", i), Versions: []sardinerock.ModelVersion{{Name: "1", Bytes: 140e9}}, MinBackends: 10,
		}
	}
	var cpuTime []meter.Point
	for _, n := range []int{110, 1100, 11000} {
		_, _, backends := sample.Instances(0, n)
		for i := range models {
			models[i].MaxBackends = n / 4
		}
		cpuTime = append(cpuTime, meter.At(float64(n), meter.Timed(func() { place.Make(models, backends) })))
	}
	r.Slope("planning the placement of 4 models: CPU", "us", "engine", cpuTime...)
	return nil
}
