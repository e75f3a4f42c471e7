/*
 * Sequence of the steps of one response over two stages (PipelineRun, StepLedger, StepId).
 *
 * A daemon sends each token's step to stage 0 and then to stage 1. Responses can be late, duplicated or reordered; a
 * step can time out although the engine ran it. The daemon then raises the attempt number, replaces the engine and
 * rebuilds the KV cache of the replacement before it sends the step again.
 *
 * Mutants, read by check.sh:
 */
// mutant: ACCEPT_ANY_ATTEMPT
// mutant: ACCEPT_ANY_POSITION
// mutant: NO_REBUILD
// mutant: COMPLETE_IS_REACHABLE

#define TOKENS 3
#define STAGES 2
#define MAX_ATTEMPT 3

/* A step carries attempt, position and whether it rebuilds the cache; a response also carries the stage. */
chan steps[STAGES] = [3] of { byte, byte, bool };
chan answers = [4] of { byte, byte, byte, bool };

/* Number of positions in the KV cache of each stage's current engine. */
byte cache[STAGES];

/* Number of accepted forward passes per position and stage. */
byte accepted[6];

byte attempt = 1;
byte position = 0;
byte stage = 0;
bool rebuilding = false;
bool complete = false;
byte copies = 0;

inline accept()
{
	/* P1: each layer range of each token is accepted exactly once, in order. */
	assert(accepted[position * STAGES + stage] == 0);
	assert(stage == 0 || accepted[position * STAGES + stage - 1] == 1);
	assert(position == 0 || accepted[(position - 1) * STAGES + stage] == 1);
	accepted[position * STAGES + stage]++;
	/* The engine ran this position on top of all earlier ones. */
	assert(cache[stage] == position + 1);
	if
	:: stage == STAGES - 1 ->
		stage = 0;
		position++
	:: else ->
		stage++
	fi
}

active proctype Daemon()
{
	byte a, p, s;
	bool r;
	steps[0]!attempt, 0, false;
	/* A run without attempts left fails, and the caller gets an error. */
end:
	do
	:: position == TOKENS ->
		complete = true;
#ifdef COMPLETE_IS_REACHABLE
		assert(false);
#endif
		break
	:: position < TOKENS && answers?[a, p, s, r] ->
		atomic {
			answers?a, p, s, r;
			if
#ifdef ACCEPT_ANY_ATTEMPT
			:: p == position && s == stage && r == rebuilding ->
#else
#ifdef ACCEPT_ANY_POSITION
			:: a == attempt && r == rebuilding ->
#else
			:: a == attempt && p == position && s == stage && r == rebuilding ->
#endif
#endif
				if
				:: rebuilding ->
					rebuilding = false;
					steps[stage]!attempt, position, false
				:: else ->
					accept();
					if
					:: position < TOKENS -> steps[stage]!attempt, position, false
					:: else -> skip
					fi
				fi
			:: else -> skip
			fi
		}
	/* The step timeout: the engine may have run the step, may run it later, or may never run it. */
	:: position < TOKENS && attempt < MAX_ATTEMPT && nfull(steps[0]) && nfull(steps[1]) ->
		atomic {
			attempt++;
			cache[stage] = 0;
#ifdef NO_REBUILD
			steps[stage]!attempt, position, false
#else
			if
			:: position > 0 -> rebuilding = true; steps[stage]!attempt, position, true
			:: else -> rebuilding = false; steps[stage]!attempt, position, false
			fi
#endif
		}
	od
}

/* The engines behind a stage: the newest attempt runs on the replacement, older ones on the lost engine. */
active [STAGES] proctype Engine()
{
	byte me = _pid - 1;
	byte a, p;
	bool r;
end:
	do
	:: steps[me]?a, p, r ->
		atomic {
			if
			:: a == attempt && r -> cache[me] = p
			:: a == attempt && !r && cache[me] == p -> cache[me] = p + 1
			:: else -> skip
			fi;
			if
			:: len(answers) < 4 -> answers!a, p, me, r
			:: len(answers) == 4 -> skip
			fi;
			/* The network may deliver a response twice. */
			if
			:: copies < 2 && len(answers) < 4 -> copies++; answers!a, p, me, r
			:: skip
			fi
		}
	:: complete -> break
	od
}
