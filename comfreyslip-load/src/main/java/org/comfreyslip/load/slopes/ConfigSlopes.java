package org.comfreyslip.load.slopes;

import java.util.SplittableRandom;

import org.comfreyslip.clients.record.ConfigRecordCodec;
import org.comfreyslip.coordination.config.ConfigDelta;
import org.comfreyslip.coordination.config.ConfigFold;
import org.comfreyslip.coordination.config.ConfigRecord;
import org.comfreyslip.coordination.config.ConfigSnapshot;
import org.comfreyslip.daemon.config.ConfigInForce;
import org.comfreyslip.daemon.route.RoutingTables;
import org.comfreyslip.routing.plan.PlanRequest;

/**
 * Subjects around the configuration.
 */
final class ConfigSlopes {

	private static final long NOW = 1_000_000_000_000L;

	private ConfigSlopes() {
	}

	/**
	 * Parsing of an accepted text, and the heap of text and parsed form.
	 *
	 * @param snapshot the accepted text
	 * @param parsed its parsed form
	 */
	record Parse(ConfigSnapshot snapshot, ConfigInForce parsed) implements SlopeSubject {

		static Parse of(int engines) {
			ConfigSnapshot snapshot = SlopeText.snapshot(SlopeText.of(engines, -1), 1);
			return new Parse(snapshot, ConfigInForce.parse(snapshot));
		}

		@Override
		public Object work() {
			return ConfigInForce.parse(this.snapshot);
		}

		@Override
		public long messageBytes() {
			return this.snapshot.text().length();
		}

	}

	/**
	 * Reading and folding of one proposal from the log.
	 *
	 * @param base the state before
	 * @param message the record of the log
	 */
	record Fold(ConfigSnapshot base, byte[] message) implements SlopeSubject {

		static Fold of(int engines) {
			ConfigSnapshot base = SlopeText.snapshot(SlopeText.of(engines, -1), 1);
			ConfigRecord proposal = ConfigRecord.Proposal.create("nonce", base.version(), "ada",
					SlopeText.of(engines, 1));
			return new Fold(base, ConfigRecordCodec.encode(proposal));
		}

		@Override
		public Object work() {
			ConfigFold fold = new ConfigFold(this.base);
			fold.apply(this.base.foldedUpTo() + 1, ConfigRecordCodec.decode(this.message).orElseThrow());
			return fold.snapshot();
		}

		@Override
		public long messageBytes() {
			return this.message.length;
		}

	}

	/**
	 * Computation, encoding, decoding and application of a change of one account.
	 *
	 * @param base the state before
	 * @param result the text after the change
	 */
	record Delta(String base, String result) implements SlopeSubject {

		static Delta of(int engines) {
			return new Delta(SlopeText.of(engines, -1), SlopeText.of(engines, engines));
		}

		@Override
		public Object work() {
			return ConfigDelta.decode(ConfigDelta.between(this.base, this.result).encode()).applyTo(this.base);
		}

		@Override
		public long messageBytes() {
			return ConfigDelta.between(this.base, this.result).encode().length;
		}

	}

	/**
	 * Putting a parsed configuration into the routing tables, and their heap.
	 *
	 * @param config the parsed configuration
	 * @param tables the tables
	 */
	record Tables(ConfigInForce config, RoutingTables tables) implements SlopeSubject {

		static Tables of(int engines) {
			ConfigInForce config = ConfigInForce.parse(SlopeText.snapshot(SlopeText.of(engines, -1), 1));
			RoutingTables tables = new RoutingTables("d0", new SplittableRandom(1));
			tables.apply(config, NOW);
			return new Tables(config, tables);
		}

		@Override
		public Object work() {
			this.tables.apply(this.config, NOW);
			return this.tables;
		}

		@Override
		public long messageBytes() {
			return 0;
		}

	}

	/**
	 * One planning decision.
	 *
	 * @param tables the tables
	 */
	record Plan(RoutingTables tables) implements SlopeSubject {

		static Plan of(int engines) {
			return new Plan(Tables.of(engines).tables());
		}

		@Override
		public Object work() {
			return this.tables.plan(PlanRequest.of("m0", 500, 305), NOW);
		}

		@Override
		public long messageBytes() {
			return 0;
		}

	}

}
