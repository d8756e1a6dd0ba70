// Package membership is how daemons find each other and keep in touch: every daemon asks the leader and
// another control daemon again and again, tells what it has in force, and so learns what is newer and who
// lives. Answers are held back while nothing is new.
package membership
