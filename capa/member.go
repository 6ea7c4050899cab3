package main

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/member"
	"github.com/sardinerock/sardinerock/place"
)

// instances returns a fleet of one region with one entry for each 30 sides.
func instances(entries, sides int) (all, near, backends []sardinerock.Instance) {
	add := func(n int, role sardinerock.Role) (out []sardinerock.Instance) {
		for i := range n {
			out = append(out, sardinerock.Instance{
				ID: fmt.Sprintf("i-%s-%08d", role, i), Role: role, Region: "region-1", Zone: fmt.Sprintf("region-1-%c", 'a'+i%3),
				Address: fmt.Sprintf("10.1.%d.%d:7400", i/250, i%250),
			})
		}
		return out
	}
	near, backends = add(entries, sardinerock.RoleEntry), add(sides, sardinerock.RoleSide)
	return append(append(all, near...), backends...), near, backends
}

// measureList gives what reading the platform's list costs, by its length.
func measureList(r *report) error {
	var bytes, cpuTime, mem, pause []point
	for _, n := range []int{370, 3700, 11370} {
		all, _, _ := instances(n/31, n-n/31)
		data, err := json.Marshal(all)
		if err != nil {
			return err
		}
		size := float64(n)
		bytes = append(bytes, point{size, float64(len(data))})
		t := &member.Tracker{Self: all[0]}
		cpuTime = append(cpuTime, point{size, timed(func() {
			var list []sardinerock.Instance
			if err := json.Unmarshal(data, &list); err != nil {
				panic(err)
			}
			t.SetList(time.Now(), list)
		})})
		before := memory()
		var list []sardinerock.Instance
		if err := json.Unmarshal(data, &list); err != nil {
			return err
		}
		kept := &member.Tracker{Self: all[0]}
		kept.SetList(time.Now(), list)
		list = nil
		mem = append(mem, point{size, memory() - before})
		pause = append(pause, point{size, member.ListPause(all, 2*time.Second, 1000).Seconds()})
		kept.Unwatch("")
		runtime.KeepAlive(t)
		runtime.KeepAlive(all)
		runtime.KeepAlive(data)
	}
	r.slope("reading of the instance list: bytes", "B", "instance", bytes...)
	r.slope("reading of the instance list: CPU", "us", "instance", cpuTime...)
	r.slope("instance list held: memory", "B", "instance", mem...)
	r.slope("time between readings at 1,000 B/s", "s", "instance", pause...)
	return nil
}

// measureMembers gives what choosing links and watching peers costs.
func measureMembers(r *report) error {
	var subset, size, tick, watch, watched []point
	for _, n := range []int{6, 24, 74} {
		_, near, backends := instances(n, 30*n)
		subset = append(subset, point{float64(n), timed(func() { member.Subset(near[0], near, backends, member.SubsetSize) })})
		size = append(size, point{float64(n), float64(len(member.Subset(near[0], near, backends, member.SubsetSize)))})
	}
	for _, n := range []int{20, 68, 240} {
		all, _, _ := instances(0, n)
		t := &member.Tracker{}
		now := time.Now()
		t.SetList(now, all)
		for _, x := range all {
			t.Watch(now, x.ID, x.Role)
		}
		tick = append(tick, point{float64(n), timed(func() { t.Tick(now) })})
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
		watch = append(watch, point{float64(n), timed(func() { member.WatchList(ids[0], shards, ids) })})
		total := 0
		for _, id := range ids[:6] {
			total += len(member.WatchList(id, shards, ids))
		}
		watched = append(watched, point{float64(n), float64(total) / 6})
	}
	r.values("choosing an entry's sides anew, 30 sides an entry: CPU", "us", subset...)
	r.values("sides that an entry is linked to, 30 sides an entry", "links", size...)
	r.slope("judging the watched instances: CPU", "us", "watched instance", tick...)
	r.values("finding out whom to ping, 2.8 shards an entry: CPU", "us", watch...)
	r.values("entries that an entry has to ping, 2.8 shards an entry", "entries", watched...)
	return nil
}

// measurePlacement gives what planning the placement costs, by the number of engines.
func measurePlacement(r *report) error {
	models := make([]sardinerock.Model, 4)
	for i := range models {
		models[i] = sardinerock.Model{
			Name: fmt.Sprint("model-", i), Versions: []sardinerock.ModelVersion{{Name: "1", Bytes: 140e9}}, MinBackends: 10,
		}
	}
	var cpuTime []point
	for _, n := range []int{110, 1100, 11000} {
		_, _, backends := instances(0, n)
		for i := range models {
			models[i].MaxBackends = n / 4
		}
		cpuTime = append(cpuTime, point{float64(n), timed(func() { place.Make(models, backends) })})
	}
	r.slope("planning the placement of 4 models: CPU", "us", "engine", cpuTime...)
	return nil
}
