package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/sardinerock/sardinerock/speed"
)

// largePool returns a pool of the size of a large region: 400 backend servers of
// one service, and the loads of 30 other entries.
func largePool() *Pool {
	p := newPool("a", 400, 8)
	now := time.Now()
	for n := range 30 {
		var loads []Load
		for id := range p.servers {
			loads = append(loads, Load{Server: Hash(id), Online: n % 2})
		}
		p.SetPeer(string(rune('b'+n)), loads, now)
	}
	return p
}

func BenchmarkBatch(b *testing.B) {
	p, now := newPool("a", 400, 8), time.Now()
	b.ReportAllocs()
	for b.Loop() {
		c, _ := p.ChooseBatch("s", BatchRequest{Reserve: 0}, now)
		p.Done(c.ID, true, false, now)
	}
}

func BenchmarkCapacity(b *testing.B) {
	p, now := largePool(), time.Now()
	b.ReportAllocs()
	for b.Loop() {
		p.Capacity("s", now)
	}
}

func BenchmarkOnlineAndCapacity(b *testing.B) {
	for _, servers := range []int{62, 400, 3000} {
		b.Run(fmt.Sprint(servers, " backend servers"), func(b *testing.B) {
			p, now := newPool("a", servers, 8), time.Now()
			b.ReportAllocs()
			for b.Loop() {
				c, _ := p.ChooseOnline("s", &Request{}, now)
				p.Capacity("s", now)
				p.Done(c.ID, false, false, now)
			}
		})
	}
}

func BenchmarkOwn(b *testing.B) {
	p, now := newPool("a", 3000, 8), time.Now()
	for range 6 {
		p.ChooseOnline("s", &Request{}, now)
	}
	b.ReportAllocs()
	for b.Loop() {
		p.OwnLoads()
		p.BatchServers()
	}
}

// The choices of a service with 400 backend servers at 500 entries, as before and with speeds that differ.
func BenchmarkSpeeds(b *testing.B) {
	for name, states := range map[string]bool{"no start times": false, "speeds differ": true} {
		p, now := newSpeedPool(400, states, 19*time.Millisecond, 41*time.Millisecond), testStart
		for n := range 500 {
			var loads []Load
			for i := range 5 {
				loads = append(loads, Load{Server: Hash(fmt.Sprint("i-", (7*n+i)%400)), Online: 1})
			}
			p.SetPeer(fmt.Sprint("front-", n), loads, now)
		}
		sample := Sample{Timing: Timing{Run: time.Second, FirstByte: time.Millisecond}, Speed: speed.Sample{Events: 22, Span: time.Second}, At: now}
		for op, run := range map[string]func(){
			"online": func() { c, _ := p.ChooseOnline("s", &Request{}, now); p.Done(c.ID, false, false, now) },
			"batch":  func() { c, _ := p.ChooseBatch("s", BatchRequest{Reserve: 0}, now); p.Done(c.ID, true, false, now) },
			"served": func() { p.RecordServed("i-7", sample) },
			"speed":  func() { p.Speed("i-7", now); p.RunOn("i-7", time.Second) },
			// The comparison is made for every fourth to sixteenth message.
			"reports": func() { now = now.Add(250 * time.Millisecond); p.SpeedReports(now) },
		} {
			b.Run(name+"/"+op, func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					run()
				}
			})
		}
	}
}

// fullPool returns a pool of 400 full backend servers and the loads of 500 other entries, which run
// three batch items on each backend server.
func fullPool(started int64) *Pool {
	p, now := newPool("a", 400, 8), time.Now()
	list := servers(400, 8)
	for n := range list {
		list[n].Started = started
	}
	p.SetServers(list)
	for n := range 500 {
		var loads []Load
		for m := range 16 {
			l := Load{Server: Hash(list[(n+25*m)%400].ID), Online: m % 2}
			if m < 3 {
				l.Batch = 1
			}
			loads = append(loads, l)
		}
		p.SetPeer(fmt.Sprint("e", n), loads, now)
	}
	return p
}

func BenchmarkOnlineAmongFull(b *testing.B) {
	for name, started := range map[string]int64{"no starts": 0, "starts": 1} {
		b.Run(name, func(b *testing.B) {
			p, now := fullPool(started), time.Now()
			b.ReportAllocs()
			for b.Loop() {
				c, _ := p.ChooseOnline("s", &Request{}, now)
				p.PreemptHolder(c.ID, now)
				p.Done(c.ID, false, false, now)
			}
		})
	}
}

func BenchmarkRunsUpdate(b *testing.B) {
	p, now := fullPool(1), time.Now()
	r := p.runs["s"]
	b.ReportAllocs()
	for b.Loop() {
		r.update(p, "s", now)
	}
}

func BenchmarkSetPeerOfRuns(b *testing.B) {
	p, now := fullPool(1), time.Now()
	loads := make([]Load, 0, 16)
	for n := range 16 {
		loads = append(loads, Load{Server: Hash(fmt.Sprint("i-", n)), Online: 1, Batch: n % 2})
	}
	b.ReportAllocs()
	for b.Loop() {
		p.SetPeer("e1", loads, now)
	}
}
