package main

import (
	"encoding/json"
	"fmt"
	"html/template"
	"os"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"cranegate/internal/experiment"
)

type reportCmd struct {
	Dir string `arg:"" type:"existingdir" help:"Folder that run --out wrote."`
}

var page = template.Must(template.New("report").Parse(`<!doctype html><meta charset="utf-8"><title>cranelab</title>
<style>body{font:15px sans-serif;max-width:60em;margin:2em auto}table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:2px 8px;text-align:left}.no{background:#fdd}</style>
<h1>Experiments</h1>
{{range .}}<h2>{{.Experiment}}</h2>
<p>{{.About}}. {{.Size}}; {{.Seeds}} days for each load from seed {{.Seed}}; driver {{.Driver}}, version {{.Version}}, {{.Machine}}.</p>
<ul>{{range .Faults}}<li>{{.}}</li>{{end}}</ul>
<table><tr><th>claim</th><th>figure</th><th>bound</th><th></th></tr>
{{range .Claims}}<tr{{if not .Holds}} class="no"{{end}}><td>{{.Name}}</td><td>{{printf "%.3f" .Figure}}</td><td>{{.Relation}} {{.Bound}}</td><td>{{if .Holds}}holds{{else}}does not hold{{end}}</td></tr>
{{end}}</table>
{{if .Series}}<p><img src="{{.Experiment}}/worth.svg" alt="worth by second"></p>{{end}}
{{end}}`))

// Run draws a chart for each result that has series, and writes index.html.
func (c reportCmd) Run() error {
	paths, err := filepath.Glob(filepath.Join(c.Dir, "*", "result.json"))
	if err != nil {
		return err
	}
	if len(paths) == 0 {
		return fmt.Errorf("%s holds no results", c.Dir)
	}
	var all []*experiment.Result
	for _, p := range paths {
		text, err := os.ReadFile(p)
		if err != nil {
			return fmt.Errorf("reading a result: %w", err)
		}
		r := &experiment.Result{}
		if err := json.Unmarshal(text, r); err != nil {
			return fmt.Errorf("reading %s: %w", p, err)
		}
		if len(r.Series) > 0 {
			if err := chart(r, filepath.Join(filepath.Dir(p), "worth.svg")); err != nil {
				return fmt.Errorf("drawing %s: %w", p, err)
			}
		}
		all = append(all, r)
	}
	out, err := os.Create(filepath.Join(c.Dir, "index.html"))
	if err != nil {
		return fmt.Errorf("writing the report: %w", err)
	}
	defer out.Close()
	if err := page.Execute(out, all); err != nil {
		return fmt.Errorf("writing the report: %w", err)
	}
	return out.Close()
}

// chart draws the earned fraction of the requested priority weight by second.
func chart(r *experiment.Result, path string) error {
	p := plot.New()
	p.Title.Text = r.Experiment
	p.X.Label.Text, p.Y.Label.Text = "s", "worth earned of worth asked for"
	p.Y.Max = 1.02
	p.Legend.Top = false
	var names []string
	for name := range r.Series {
		names = append(names, name)
	}
	slices.Sort(names)
	for i, name := range names {
		points := make(plotter.XYs, len(r.Series[name]))
		for x, y := range r.Series[name] {
			points[x] = plotter.XY{X: float64(x) + 0.5, Y: y}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(name, line)
	}
	return p.Save(18*vg.Centimeter, 9*vg.Centimeter, path)
}
