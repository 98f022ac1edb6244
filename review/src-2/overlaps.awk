# Reads lines "SERVER TIME_US FROM TO UNTIL_US" (what a server held from then on;
# UNTIL_US 0: it holds the keys no more), in order of time, and prints each span
# in which two servers held a key, as "KEY SERVER SERVER BEGIN_US END_US": the
# first key of each range of 32, as keys are given out in such ranges.
function end_hold(s, k, t) {
	if ((s, k) in until && until[s, k] > begun[s, k]) {
		n[k]++
		who[k, n[k]] = s
		from[k, n[k]] = begun[s, k]
		to[k, n[k]] = until[s, k] < t ? until[s, k] : t
	}
	delete until[s, k]
	delete begun[s, k]
}
{
	for (k = int(($3 + 31) / 32); k <= int($4 / 32); k++) {
		if ($5 == 0) {
			# An answer's rows follow at once: a renewal goes on.
			if (($1, k) in until && until[$1, k] > $2) {
				cleared[$1, k] = $2
				old_begun[$1, k] = begun[$1, k]
			}
			end_hold($1, k, $2)
			continue
		}
		if (($1, k) in cleared && $2 - cleared[$1, k] < 5000) {
			# Takes back the end that was noted just now.
			if (n[k] && who[k, n[k]] == $1 && to[k, n[k]] >= cleared[$1, k])
				n[k]--
			begun[$1, k] = old_begun[$1, k]
		} else {
			begun[$1, k] = $2
		}
		delete cleared[$1, k]
		until[$1, k] = $5
	}
	last = $2
}
END {
	for (x in until) {
		split(x, p, SUBSEP)
		end_hold(p[1], p[2], 1e18)
	}
	for (k = 0; k < 2048; k++)
		for (i = 1; i <= n[k]; i++)
			for (j = i + 1; j <= n[k]; j++) {
				if (who[k, i] == who[k, j])
					continue
				a = from[k, i] > from[k, j] ? from[k, i] : from[k, j]
				b = to[k, i] < to[k, j] ? to[k, i] : to[k, j]
				if (a < b)
					printf "%d %s %s %.0f %.0f\n", k * 32, who[k, i], who[k, j], a, b
			}
}
