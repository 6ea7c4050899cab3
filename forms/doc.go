// Package forms holds the usual JSON forms of model servers: it reads the bodies
// of generations and the lines of jobs, and writes answers, jobs, files and errors.
package forms
