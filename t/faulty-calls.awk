# Reads lines "ran ID TIMES" of the servers' ledgers, then what callers were
# told, as t/lib-faulty.sh writes it. Prints the number of calls, of wrong
# answers, of runs and of each status, then the first wrong answers.
function wrong(what) {
	if (id == last_wrong)
		return
	last_wrong = id
	if (n_wrong++ < 5)
		seen = seen "\n  " what
}
$1 == "ran" {
	ran[$2] += $3
	n_ran += $3
	next
}
# Not "call": part of a body, or a whole one.
$1 != "call" {
	if ($0 != "") {
		n_lines++
		body = $0
	}
	next
}
{
	id = $2
	status = $3
	signature = substr($5, 2)
	split(body, b, " ")
	whole = n_lines == 1 && b[1] == "body" && b[2] == id &&
		length(b[4]) == b[3] && b[5] == "end"
	n_lines = 0
	body = ""
	n_calls++
	n_status[$4 ? "cut" : status]++
	if (status ~ /^(408|421|429|503)$/ && ran[id])
		wrong($0 ": it ran")
	if (id ~ /-book-/ && ran[id] > 1)
		wrong($0 ": ran " ran[id] " times")
	if ($4)
		next
	if (status + 0 < 200)
		wrong($0 ": no final status")
	else if (status ~ /^2/ && signature == "")
		wrong($0 ": no signature")
	else if (status == 404 && signature == "")
		wrong($0 ": its route exists")
	else if (signature != "" && signature != id "-" status)
		wrong($0 ": not what a server gave")
	else if (signature != "" && substr($6, 2) != id)
		wrong($0 ": the id of another")
	else if (signature != "" && !whole)
		wrong($0 ": its body is not whole")
	else if (signature != "" && !ran[id])
		wrong($0 ": no server ran it")
}
END {
	printf "%d %d %d", n_calls, n_wrong, n_ran
	for (s in n_status)
		printf " %s:%d", s, n_status[s]
	print seen
}
