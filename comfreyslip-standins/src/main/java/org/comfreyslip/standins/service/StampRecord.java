package org.comfreyslip.standins.service;

/**
 * A recorded stamp.
 *
 * @param number number of the record, from 0
 * @param key value of the {@code Idempotency-Key} header, or {@code null}
 * @param certificate name of the certificate
 * @param inspector who verified it
 */
public record StampRecord(long number, String key, String certificate, String inspector) {
}
