/**
 * Running of batch items at a gateway: which item is sent when, what becomes of a broken run, how
 * results are recorded, and how jobs of a gateway that is not heard any more are taken over.
 */
package elmsail.batch.run;
