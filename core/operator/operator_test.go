package operator_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"oleandervalve"
	"oleandervalve/core/operator"
)

func object(kind, name, spec string) operator.Object {
	return operator.Object{Kind: operator.Kind(kind), Name: name, Spec: json.RawMessage(spec)}
}

// Guards against accepting invalid objects, against reporting only the first of
// several invalid fields, and against errors that quote a secret.
func TestInvalidObjects(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	long := strings.Repeat("x", 64)
	labels := map[string]string{}
	for i := range 33 {
		labels[fmt.Sprintf("l%02d", i)] = "v"
	}
	for _, c := range []struct {
		name string
		o    operator.Object
	}{
		{"unknown kind", object("servise", "a", `{}`)},
		{"empty object", operator.Object{}},
		{"name with a slash", object("service", "a/b", `{"defaultDeadlineMs":1,"classes":["x"]}`)},
		{"name too long", object("service", long, `{"defaultDeadlineMs":1,"classes":["x"]}`)},
		{"spec is a list", object("service", "a", `[]`)},
		{"spec is null", object("service", "a", `null`)},
		{"spec is cut", object("service", "a", `{"classes":`)},
		{"spec too large", object("team", "a", `{"callers":["`+strings.Repeat("a", 9000)+`"]}`)},
		{"several fields at once", object("service", "a", `{"defaultDeadlineMs":"soon","classes":["X","b","b"],"defaultClass":"c","deadline":1}`)},
		{"deadline out of range", object("service", "a", `{"defaultDeadlineMs":-5,"classes":[]}`)},
		{"policy selector", object("policy", "a", `{"selector":"tier in (board","runOn":"=","avoid":"!"}`)},
		{"policy numbers", object("policy", "a", `{"selector":"","retryRatio":2,"classes":[{"name":"x","weight":0,"floor":0.7,"queueLimit":-1},{"name":"y","weight":1,"floor":0.7}]}`)},
		{"policy nested field", object("policy", "a", `{"selector":"","classes":[{"name":"x","weigth":1}]}`)},
		{"team quota", object("team", "a", `{"quota":{"cpu":-1},"weight":0,"callers":["Ilona"]}`)},
		{"job defaults", object("jobDefaults", "a", `{"selector":"a b","maxAttempts":-1,"size":{"memory":-1},"class":"X"}`)},
		{"labels to add", object("workerLabels", "a", `{"selector":"rack=r1","add":{"bad key":"v","k":"bad value"}}`)},
		{"no labels to add", object("endpointLabels", "a", `{"selector":"rack=r1"}`)},
		{"object labels", operator.Object{Kind: operator.KindTeam, Name: "a", Labels: labels, Spec: json.RawMessage(`{"weight":1}`)}},
		{"token instead of hash", object("token", "a", `{"hash":"my-secret-token","team":"t","roles":["admin"]}`)},
		{"token in an unknown field", object("token", "a", `{"secret":"my-secret-token","team":"t","roles":[]}`)},
		{"upper case hash", object("token", "a", `{"hash":"`+strings.ToUpper(operator.HashToken("my-secret-token"))+`","team":"t","roles":["viewer"]}`)},
	} {
		_, _, err := operator.Validate(c.o)
		if err == nil {
			t.Fatal(c.name)
		}
		fmt.Fprintf(&out, "%s\n  %s\n", c.name, strings.ReplaceAll(err.Error(), "; ", "\n    "))
	}
	for _, s := range []string{"a in (b", "a==b==c", "a=b=c", "a notin b", "(a)", strings.Repeat("a", 70) + "=b", "a>x", "a=b\x00,c=d"} {
		_, err := operator.ParseSelector(s)
		if err == nil {
			t.Fatalf("%q", s)
		}
		fmt.Fprintf(&out, "selector\n  %s\n", err)
	}
	is.True(!strings.Contains(out.String(), "my-secret-token"))
	is.True(!strings.Contains(strings.ToLower(out.String()), operator.HashToken("my-secret-token")[:32]))
	goldie.New(t).Assert(t, "invalid", out.Bytes())
}

// replicaWith returns a replica with the given objects, each created by a revision
// of its own starting at 1.
func replicaWith(is *is.I, objects ...operator.Object) *operator.Replica {
	var head operator.Head
	r := operator.NewReplica()
	for _, o := range objects {
		c := operator.Change{ID: operator.ChangeID("change-" + o.Name), Verb: operator.VerbPut, Kind: o.Kind, Name: o.Name, Expected: new(oleandervalve.Version), Object: &o}
		h, err := json.Marshal(head)
		is.NoErr(err)
		p, err := operator.BuildPlan(c, operator.Actor{Name: "ilona"}, []oleandervalve.Row{{Value: h, Version: oleandervalve.Version(head.Revision)}, {}, {}}, time.Unix(0, 0))
		is.NoErr(err)
		head = p.Head
		is.NoErr(r.ApplyRecord(p.Record))
	}
	return r
}

// Guards against a wrong weight, floor or queue limit of a class, and against an
// explanation that does not name the cause of a refusal.
func TestClassesAndExplanations(t *testing.T) {
	is := is.New(t)
	s := object("service", "formaro", `{"defaultDeadlineMs":2000,"classes":["board","export","office"]}`)
	s.Labels = map[string]string{"tier": "board"}
	r := replicaWith(is, s,
		object("policy", "b", `{"selector":"tier=board","classes":[{"name":"board","weight":9,"floor":0.1},{"name":"export","weight":2,"floor":0.9}]}`),
		object("policy", "a", `{"selector":"tier in (board)","retryRatio":0.1,"runOn":"disk=fast","classes":[{"name":"board","weight":5,"floor":0.9,"queueLimit":7}]}`),
		object("policy", "0", `{"selector":"tier=other","classes":[{"name":"board","weight":1}]}`),
		object("workerLabels", "w1", `{"selector":"rack=r1","add":{"disk":"fast","zone":"x"}}`),
		object("workerLabels", "w2", `{"selector":"rack","add":{"disk":"slow"}}`),
		object("jobDefaults", "j", `{"selector":"","class":"office","maxAttempts":3}`),
	)
	rules := r.Classes("formaro")
	is.Equal(fmt.Sprint(rules), "[{{board 5 0.5 7} a} {{export 2 0.5 1024} b} {{office 1 0 1024} }]") // the floors of two policies are scaled down to a sum of 1
	is.Equal(r.RetryRatio(s.Labels), 0.1)
	is.Equal(r.EffectiveLabels(operator.KindWorkerLabels, map[string]string{"rack": "r1"}), map[string]string{"rack": "r1", "disk": "fast", "zone": "x"})
	is.Equal(r.JobDefaults(nil).MaxAttempts, 3)
	var out bytes.Buffer
	for _, q := range [][2]string{{"formaro", "board"}, {"formaro", "office"}, {"formaro", "offise"}, {"formara", "board"}} {
		b, err := json.MarshalIndent(r.ExplainClass(oleandervalve.ServiceName(q[0]), oleandervalve.ClassName(q[1])), "", "  ")
		is.NoErr(err)
		out.Write(append(b, '\n'))
	}
	goldie.New(t).Assert(t, "explain", out.Bytes())
}

// Guards against a replica that applies a corrupted delta, and against an agent
// that keeps using a configuration that differs from its entry's at the same
// revision.
func TestCorruptedDelta(t *testing.T) {
	is := is.New(t)
	r := replicaWith(is, object("team", "t", `{"weight":1}`), object("service", "a", `{"defaultDeadlineMs":1,"classes":["x"]}`))
	agent := operator.NewReplica()
	whole := r.Delta(operator.View{}, 0, true)
	is.Equal(len(whole), 1)
	is.Equal(len(whole[0].Objects), 1) // an agent does not need teams
	bad := whole[0]
	bad.Objects = append([]operator.Object(nil), bad.Objects...)
	bad.Objects[0].Spec = json.RawMessage(`{"defaultDeadlineMs":2,"classes":["x"]}`)
	_, err := agent.Apply(bad)
	gap, ok := err.(*operator.GapError) //nolint:errorlint // the type is the contract
	is.True(ok)
	is.Equal(gap.Resync(), operator.Resync{Full: true})
	is.Equal(agent.Revision(), oleandervalve.Revision(0))
	_, err = agent.Apply(whole[0])
	is.NoErr(err)
	d := operator.NewDistributor(r)
	now := time.Unix(0, 0)
	d.AddAgent("agent", operator.View{}, 2, now)
	d.Resync("agent", operator.Resync{From: 2})
	is.Equal(len(d.Next(now)), 0)
	d.HandleAck("agent", operator.Ack{Revision: 2, Digest: 99})
	out := d.Next(now)
	is.Equal(len(out), 1)
	is.True(out[0].Delta.Full) // a digest mismatch at the same revision causes a full delta
	is.Equal(len(d.Next(now.Add(time.Second))), 0)
	is.Equal(len(d.Next(now.Add(4*time.Second))), 0) // the agent is up to date, so only another digest mismatch causes a resend
	d.Resync("agent", operator.Resync{From: 1})
	is.Equal(len(d.Next(now.Add(5*time.Second))), 1)
	is.Equal(len(d.Next(now.Add(6*time.Second))), 0)
	is.Equal(len(d.Next(now.Add(9*time.Second))), 1) // a lost delta is sent again
	d.RemoveAgent("agent")
	is.Equal(len(d.Next(now.Add(20*time.Second))), 0)
}

// Guards against a malformed delta or a decompression bomb that crashes the process.
func TestMalformedDelta(t *testing.T) {
	is := is.New(t)
	big := operator.Delta{To: 1, Full: true, Parts: 1}
	for i := range 40 {
		big.Objects = append(big.Objects, object("service", fmt.Sprint(i), `"`+strings.Repeat(" ", 4000)+`"`))
	}
	b, err := cbor.Marshal(big)
	is.NoErr(err)
	is.True(len(b) < 5000)
	var d operator.Delta
	is.True(cbor.Unmarshal(b, &d) != nil) // the decompressed content exceeds the limit
	for _, x := range []operator.Delta{{To: 1, Full: true}, {To: 1, Part: 2, Parts: 1}, {From: 3, To: 1, Parts: 1}, {To: 1, Part: -1, Parts: 1}} {
		b, err := cbor.Marshal(x)
		is.NoErr(err)
		is.True(cbor.Unmarshal(b, &d) != nil)
	}
	good, err := cbor.Marshal(operator.Delta{To: 1, Full: true, Parts: 1, Removed: []operator.Ref{{Kind: "service", Name: "a"}}})
	is.NoErr(err)
	for i := range good {
		for _, flip := range []byte{0x01, 0x80, 0xff} {
			x := bytes.Clone(good)
			x[i] ^= flip
			_ = cbor.Unmarshal(x, &d) // it must not panic; an error is optional
		}
		is.True(cbor.Unmarshal(good[:i], &d) != nil)
	}
}

// Guards against an agent that keeps a disconnected or lagging source, and
// against switching sources at every poll.
func TestSubscriberChangesSource(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	s := operator.NewSubscriber("agent")
	start, _ := s.SelectSource(now)
	is.Equal(string(start), "")
	for _, e := range []oleandervalve.EntryID{"a", "b", "c"} {
		s.AddEntry(e, 5, now)
	}
	first, _ := s.SelectSource(now)
	for _, e := range []oleandervalve.EntryID{"a", "b", "c"} {
		if e != first {
			s.ObserveEntryRevision(e, 6, now)
		}
	}
	start, _ = s.SelectSource(now.Add(2 * time.Second))
	is.Equal(string(start), "") // one late poll does not cause a switch
	start, stop := s.SelectSource(now.Add(4 * time.Second))
	is.True(start != "" && start != first)
	is.Equal(stop, first)
	s.RemoveEntry(start)
	next, _ := s.SelectSource(now.Add(4 * time.Second))
	is.True(next != "" && next != start && next != first)
}

// Guards against a team that changes objects of other teams.
func TestAuthorize(t *testing.T) {
	is := is.New(t)
	mine := object("service", "a", `{}`)
	mine.Labels = map[string]string{"team": "sales"}
	other := object("service", "a", `{}`)
	op := operator.Actor{Name: "ilona", Team: "sales", Roles: []operator.Role{operator.RoleOperator}}
	is.NoErr(operator.Authorize(op, "platform", mine.Ref(), nil, &mine))
	is.True(operator.Authorize(op, "platform", mine.Ref(), &other, &mine) != nil) // taking over an object of another team
	is.True(operator.Authorize(op, "platform", mine.Ref(), &mine, &other) != nil) // giving an object to another team
	is.True(operator.Authorize(op, "platform", operator.Ref{Kind: operator.KindPolicy, Name: "p"}, nil, nil) != nil)
	op.Roles = []operator.Role{operator.RoleViewer, operator.RoleCaller}
	is.True(operator.Authorize(op, "sales", mine.Ref(), nil, &mine) != nil)
	op.Team, op.Roles = "platform", []operator.Role{operator.RoleOperator}
	is.NoErr(operator.Authorize(op, "platform", mine.Ref(), &other, nil))
}
